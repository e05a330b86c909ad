/** Carries out what goes wrong in a scenario. */

import got from 'got';
import {readCounters, type RunEngine} from './engine_totals.js';
import type {ScenarioAction, ScenarioEvent} from './scenario.js';
import type {Stage} from './stage.js';

/**
 * Carries each event out at its instant, counted from now.
 *
 * @returns what stops the ones that are left.
 * @example
 * const stop = scheduleEvents(stage, scenario.events ?? []);
 */
export function scheduleEvents(
  stage: Stage,
  events: readonly ScenarioEvent[],
): () => void {
  const timers = events.map(({action, atMs}) =>
    setTimeout(() => void carryOut(stage, action), atMs),
  );
  return () => timers.forEach(timer => clearTimeout(timer));
}

async function carryOut(stage: Stage, action: ScenarioAction): Promise<void> {
  switch (action.kind) {
    case 'lose_data_centre':
      return loseDataCentre(stage, action.dataCentre);
    case 'reclaim_cheap':
      return reclaimCheap(stage, action.dataCentre);
    case 'control_engines': {
      const engines = enginesIn(stage, action.dataCentre);
      await Promise.all(engines.map(({url}) => tell(url, action.command)));
      return;
    }
    case 'control_platform':
      return tell(stage.platform.url, action.command);
    case 'freeze_owner':
      return ownerOf(stage).freeze();
    case 'thaw_owner':
      return ownerOf(stage).thaw();
  }
}

/**
 * Which instance owns the cells changes from run to run; the first one of the
 * first data centre owns about its share of them.
 */
function ownerOf(stage: Stage) {
  return stage.deployment.entries[0].process;
}

async function loseDataCentre(stage: Stage, dataCentre: string): Promise<void> {
  const engines = enginesIn(stage, dataCentre);
  await Promise.all(engines.map(readCounters));
  const host = stage.engineHosts.get(dataCentre);
  const entries = stage.deployment.entries.filter(
    ({settings}) => settings.dataCentre === dataCentre,
  );
  const ended = entries.map(entry => entry.process.kill());
  await Promise.all([...ended, host?.process.kill()]);
  markGone(engines);
}

async function reclaimCheap(stage: Stage, dataCentre: string): Promise<void> {
  const engines = enginesIn(stage, dataCentre).filter(
    ({kind}) => kind === 'cheap',
  );
  await Promise.all(engines.map(readCounters));
  const crash = {crash: {restartAfterMs: null}};
  await Promise.all(engines.map(({url}) => tell(url, crash)));
  markGone(engines);
}

function enginesIn(stage: Stage, dataCentre: string): RunEngine[] {
  return stage.engines.filter(engine => engine.dataCentre === dataCentre);
}

function markGone(engines: readonly RunEngine[]): void {
  for (const engine of engines) engine.untilMs = performance.now();
}

async function tell(url: string, command: object): Promise<void> {
  try {
    await got.post(`${url}/control`, {json: command, retry: {limit: 0}});
  } catch (error) {
    // An engine that was told to crash resets the very connection.
    if ((error as NodeJS.ErrnoException).code !== 'ECONNRESET') throw error;
  }
}
