import type {
  Configuration,
  DataCentre,
  Endpoint,
} from '@snipestage/types/configuration.js';
import test from 'ava';
import type {ConfigurationStore} from '../configure/configuration_store.js';
import {EndpointDirectory} from './endpoint_directory.js';

/** A store with one endpoint in one data centre, and no others. */
class FakeStore {
  current = this.configure(false);
  private readonly listeners: Array<() => void> = [];

  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  setEvacuated(evacuated: boolean): void {
    this.current = this.configure(evacuated);
    for (const listener of this.listeners) listener();
  }

  private configure(evacuated: boolean): Configuration {
    const endpoint = {id: 'one', dataCentre: 'akl-a', leaving: false};
    const centre = {id: 'akl-a', region: 'nz-north', evacuated};
    return {
      endpoints: new Map([['one', endpoint as unknown as Endpoint]]),
      dataCentres: new Map([['akl-a', centre as unknown as DataCentre]]),
      endpointPools: new Map(),
    } as unknown as Configuration;
  }
}

test('endpoints of an evacuated data centre get no new work until it is restored', t => {
  // Guards against requests to a data centre that its operator is emptying.
  const store = new FakeStore();
  const directory = new EndpointDirectory(
    store as unknown as ConfigurationStore,
  );
  store.setEvacuated(true);
  t.true(directory.endpoints.get('one')?.leaving);
  store.setEvacuated(false);
  t.false(directory.endpoints.get('one')?.leaving);
});
