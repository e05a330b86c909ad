/**
 * Prints the cost of membership to an instance and the time in which joins and
 * losses become known, at several sizes, from simulated rounds.
 */

import {SimulatedNetworks, type SimulatedNode} from './simulate_rounds.js';

const SIZES = [
  {dataCentres: 3, instancesPerDataCentre: 3},
  {dataCentres: 4, instancesPerDataCentre: 10},
  {dataCentres: 5, instancesPerDataCentre: 76},
];
const SETTLE_MS = 10_000;
const IDLE_MS = 60_000;
const MAX_RUN_MS = 120_000;

function perSecond(
  nodes: readonly SimulatedNode[],
  read: (node: SimulatedNode) => number,
  before: ReadonlyMap<SimulatedNode, number>,
): {mean: string; most: string} {
  const rates = nodes.map(
    node => ((read(node) - before.get(node)!) * 1000) / IDLE_MS,
  );
  const mean = rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
  return {mean: mean.toFixed(1), most: Math.max(...rates).toFixed(1)};
}

for (const size of SIZES) {
  const networks = new SimulatedNetworks(size);
  const nodes = [...networks.nodes.values()];
  networks.run(SETTLE_MS);
  const frames = new Map(nodes.map(node => [node, node.framesSent]));
  const bytes = new Map(nodes.map(node => [node, node.bytesSent]));
  networks.run(IDLE_MS);
  const frameRate = perSecond(nodes, node => node.framesSent, frames);
  const byteRate = perSecond(nodes, node => node.bytesSent, bytes);
  const degrees = nodes.map(node => node.streams.size);
  const joiner = networks.add(0, size.instancesPerDataCentre);
  networks.connect(joiner, nodes[0]);
  const joinMs = networks.runUntil(() => {
    const states = networks.statesOf(joiner.id);
    const known = joiner.membership.others().length;
    return states.size === 1 && states.has('alive') && known === nodes.length;
  }, MAX_RUN_MS);
  networks.run(SETTLE_MS);
  const lost = nodes[1];
  lost.isRunning = false;
  const seenMs = networks.runUntil(() => {
    const states = networks.statesOf(lost.id);
    return !states.has('alive');
  }, MAX_RUN_MS);
  const deadMs = networks.runUntil(() => {
    const states = networks.statesOf(lost.id);
    return states.size === 1 && states.has('dead');
  }, MAX_RUN_MS);
  console.log(
    [
      `instances ${nodes.length}`,
      `streams ${Math.min(...degrees)}-${Math.max(...degrees)}`,
      `frames sent/s ${frameRate.mean} (most ${frameRate.most})`,
      `bytes sent/s ${byteRate.mean} (most ${byteRate.most})`,
      `join known by all ${joinMs} ms`,
      `loss suspected by all ${seenMs} ms, held dead by all ${seenMs + deadMs} ms`,
    ].join('; '),
  );
}
