/** Peer records for endpoints and the demand for them. */

import type {PeerRecord} from '@snipestage/peer/records.js';
import type {Demand} from '../endpoints/demand.js';
import type {DemandTask} from '../endpoints/demand_task.js';
import type {
  DrainList,
  EndpointDirectory,
  EndpointList,
} from '../endpoints/endpoint_directory.js';
import type {PeerTask} from './peer_task.js';

const LIST = 'endpoint_list';
const DRAINS = 'endpoint_drains';
const DEMAND = 'endpoint_demand';

/**
 * @example
 * network.broadcast(toListRecord(list));
 */
export function toListRecord(list: EndpointList): PeerRecord {
  return extension(LIST, list);
}

/**
 * The record that the planner of a data centre broadcasts with each plan. It
 * also announces the sender as the planner.
 *
 * @example
 * network.broadcast(toDrainRecord(drains));
 */
export function toDrainRecord(drains: DrainList): PeerRecord {
  return extension(DRAINS, drains);
}

/**
 * @example
 * network.send(holder, toDemandRecord(demand));
 */
export function toDemandRecord(demand: Demand): PeerRecord {
  return extension(DEMAND, demand);
}

/**
 * Handles the records of other instances.
 *
 * @example
 * connectEndpoints(peerTask, directory, demandTask);
 */
export function connectEndpoints(
  peers: PeerTask,
  directory: EndpointDirectory,
  demand: DemandTask,
): void {
  peers.onExtension(LIST, json => {
    directory.setList(parse<EndpointList>(json));
  });
  peers.onExtension(DRAINS, (json, from) => {
    const drains = parse<DrainList>(json);
    directory.setDrains(drains);
    demand.setHolder(drains.dataCentre, from);
  });
  peers.onExtension(DEMAND, (json, from) => {
    demand.receive(from, parse<Demand>(json));
  });
}

function extension(name: string, content: object): PeerRecord {
  const json = Buffer.from(JSON.stringify(content));
  return {kind: 'extension', name, json};
}

function parse<T>(json: Buffer): T {
  return JSON.parse(json.toString('utf8')) as T;
}
