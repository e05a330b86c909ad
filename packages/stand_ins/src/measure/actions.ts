/** Performs the events of a scenario, such as faults, while it runs. */

import got from 'got';
import {readCounters, type RunEngine} from './engine_totals.js';
import type {ScenarioAction, ScenarioEvent} from './scenario.js';
import type {TestBed} from './test_bed.js';

/**
 * Schedules each event for its instant, counted from now.
 *
 * @returns a function that cancels the events which are not due yet.
 * @example
 * const stop = scheduleEvents(testBed, scenario.events ?? []);
 */
export function scheduleEvents(
  testBed: TestBed,
  events: readonly ScenarioEvent[],
): () => void {
  const timers = events.map(({action, atMs}) =>
    setTimeout(() => void carryOut(testBed, action), atMs),
  );
  return () => timers.forEach(timer => clearTimeout(timer));
}

async function carryOut(
  testBed: TestBed,
  action: ScenarioAction,
): Promise<void> {
  switch (action.kind) {
    case 'lose_data_centre':
      return loseDataCentre(testBed, action.dataCentre);
    case 'reclaim_cheap':
      return reclaimCheap(testBed, action.dataCentre);
    case 'control_engines': {
      const engines = enginesIn(testBed, action.dataCentre);
      await Promise.all(
        engines.map(({url}) => sendControl(url, action.command)),
      );
      return;
    }
    case 'control_platform':
      return sendControl(testBed.platform.url, action.command);
    case 'freeze_owner':
      return firstEntryProcess(testBed).freeze();
    case 'thaw_owner':
      return firstEntryProcess(testBed).thaw();
  }
}

/**
 * The process that is frozen as an owner of cells. Which instance owns which
 * cells differs from run to run; the first instance of the first data centre
 * owns about an even share of them.
 */
function firstEntryProcess(testBed: TestBed) {
  return testBed.deployment.entries[0].process;
}

async function loseDataCentre(
  testBed: TestBed,
  dataCentre: string,
): Promise<void> {
  const engines = enginesIn(testBed, dataCentre);
  await Promise.all(engines.map(readCounters));
  const host = testBed.engineHosts.get(dataCentre);
  const entries = testBed.deployment.entries.filter(
    ({settings}) => settings.dataCentre === dataCentre,
  );
  const ended = entries.map(entry => entry.process.kill());
  await Promise.all([...ended, host?.process.kill()]);
  markEnded(engines);
}

async function reclaimCheap(
  testBed: TestBed,
  dataCentre: string,
): Promise<void> {
  const engines = enginesIn(testBed, dataCentre).filter(
    ({kind}) => kind === 'cheap',
  );
  await Promise.all(engines.map(readCounters));
  const crash = {crash: {restartAfterMs: null}};
  await Promise.all(engines.map(({url}) => sendControl(url, crash)));
  markEnded(engines);
}

function enginesIn(testBed: TestBed, dataCentre: string): RunEngine[] {
  return testBed.engines.filter(engine => engine.dataCentre === dataCentre);
}

function markEnded(engines: readonly RunEngine[]): void {
  for (const engine of engines) engine.endedAtMs = performance.now();
}

async function sendControl(url: string, command: object): Promise<void> {
  try {
    await got.post(`${url}/control`, {json: command, retry: {limit: 0}});
  } catch (error) {
    // An engine that crashes on command also resets this connection.
    if ((error as NodeJS.ErrnoException).code !== 'ECONNRESET') throw error;
  }
}
