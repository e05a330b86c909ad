/** Several entry processes that share one platform, for tests and scripts. */

import {setTimeout as delay} from 'node:timers/promises';
import type {ObjectChange} from '@snipestage/types/configuration.js';
import got from 'got';
import {
  makeEntrySettings,
  type EntrySettingsInput,
} from './entry_settings_input.js';
import type {LaunchedEntry, Launcher} from './launcher.js';

/** Options of {@link Deployment.start}. */
export interface DeploymentOptions {
  readonly launcher: Launcher;
  readonly platformUrl: string;
  readonly operatorKey: string;
  /** The data centre of each instance; one instance is started per item. */
  readonly dataCentres: readonly string[];
  /** Sections of the settings that are replaced in each instance. */
  readonly changes?: Partial<EntrySettingsInput>;
}

/** The answer to an accepted ticket. */
interface Accepted {
  readonly revision: number;
}

const POLL_INTERVAL_MS = 50;
const IN_FORCE_TIMEOUT_MS = 30_000;

/** Entry processes that have been started and are ready. */
export class Deployment {
  readonly entries: LaunchedEntry[] = [];
  private readonly options: DeploymentOptions;
  private lastTicket = 0;

  private constructor(options: DeploymentOptions) {
    this.options = options;
  }

  /**
   * Starts the entry processes and waits until each is ready for requests.
   *
   * @example
   * const deployment = await Deployment.start({
   *   launcher,
   *   platformUrl: platform.url,
   *   operatorKey,
   *   dataCentres: ['akl-a', 'akl-b', 'akl-c'],
   * });
   */
  static async start(options: DeploymentOptions): Promise<Deployment> {
    const deployment = new Deployment(options);
    const settings = await Promise.all(
      options.dataCentres.map((dataCentre, at) =>
        deployment.settingsOf(dataCentre, at + 1),
      ),
    );
    await deployment.listInstances(settings);
    const {launcher} = options;
    deployment.entries.push(
      ...(await Promise.all(
        settings.map(each => launcher.launchEntry({settings: each})),
      )),
    );
    await Promise.all(
      deployment.entries.map(entry => launcher.waitUntilReady(entry)),
    );
    return deployment;
  }

  /**
   * Submits a change ticket with the next number and waits until it is in
   * force at every instance.
   *
   * @throws Error with the answer's body when the ticket is refused, or when
   *     the revision is not in force after 30 s.
   * @example
   * await deployment.submit([{kind: 'model', id: 'repair', state}]);
   */
  async submit(changes: readonly ObjectChange[]): Promise<void> {
    this.lastTicket += 1;
    const ticket = {
      number: this.lastTicket,
      author: 'stand-ins',
      reason: 'set the stage',
      changes,
    };
    const response = await got.post(
      `${this.entries[0].adminUrl}/admin/v1/tickets`,
      {
        json: ticket,
        headers: this.authorization,
        retry: {limit: 0},
        throwHttpErrors: false,
      },
    );
    if (response.statusCode !== 200) throw new Error(response.body);
    await this.waitForRevision(
      (JSON.parse(response.body) as Accepted).revision,
    );
  }

  /**
   * Waits until every instance has at least this revision in force.
   *
   * @throws Error when this takes longer than 30 s.
   * @example
   * await deployment.waitForRevision(2);
   */
  async waitForRevision(revision: number): Promise<void> {
    const deadlineMs = performance.now() + IN_FORCE_TIMEOUT_MS;
    for (const entry of this.entries) {
      while ((await this.revisionOf(entry)) < revision) {
        if (performance.now() > deadlineMs) {
          const {instance} = entry.settings;
          throw new Error(`${instance} did not reach revision ${revision}`);
        }
        await delay(POLL_INTERVAL_MS);
      }
    }
  }

  private settingsOf(
    dataCentre: string,
    number: number,
  ): Promise<EntrySettingsInput> {
    const {changes, operatorKey, platformUrl} = this.options;
    const instance = `${dataCentre}-${number}`;
    return makeEntrySettings({
      instance,
      dataCentre,
      platformUrl,
      operatorKey,
      changes,
    });
  }

  /**
   * Publishes the instances in the platform's list, through which they first
   * discover each other.
   */
  private async listInstances(
    settings: readonly EntrySettingsInput[],
  ): Promise<void> {
    const instances = settings.map(({dataCentre, instance, peer}) => ({
      id: instance,
      dataCentre,
      peerAddress: `127.0.0.1:${peer.port}`,
      state: 'live',
    }));
    await got.post(`${this.options.platformUrl}/control`, {json: {instances}});
  }

  private async revisionOf(entry: LaunchedEntry): Promise<number> {
    const status = await got(`${entry.adminUrl}/admin/v1/status`, {
      headers: this.authorization,
    }).json<{revision: number}>();
    return status.revision;
  }

  private get authorization(): Record<string, string> {
    return {authorization: `Bearer ${this.options.operatorKey}`};
  }
}
