/**
 * Gateways with one store and the same endpoints, each with links of its own to
 * them that a test can cut.
 */

import type {CallerLimits, Route} from '@snipestage/routing/route.js';
import {Link, type LinkMode} from '@snipestage/stand_ins/link/link.js';
import {MemoryPlatform} from './memory_platform.js';
import {startGateway, TestEndpoint, waitUntil} from './test_gateway.js';

/**
 * A loopback address of this process alone. While a link refuses connections its
 * port is free, and another process could get it and answer in its place.
 */
const LINK_HOST = `127.1.${(process.pid >> 8) & 0xff}.${process.pid & 0xff}`;

/** Options of {@link startCluster}. */
export interface TestClusterOptions {
  readonly instances: number;
  readonly endpoints: number;
  readonly route: Route;
  readonly answer: ConstructorParameters<typeof TestEndpoint>[0];
  /** Limits on callers that differ from the usual ones (none). */
  readonly limits?: Partial<CallerLimits>;
}

/**
 * Starts the gateways and waits until all of them are ready.
 *
 * @example
 * const cluster = await startCluster({instances: 2, endpoints: 3, ...rest});
 * await cluster.cut(0, 'refuse');
 */
export async function startCluster(options: TestClusterOptions) {
  const platform = new MemoryPlatform();
  const endpoints = await startEndpoints(options);
  const members = await Promise.all(
    Array.from({length: options.instances}, (_, index) =>
      startMember(`instance-${index}`, {...options, platform, endpoints}),
    ),
  );
  await waitUntil(() =>
    members.every(
      ({gateway}) => gateway.knownForwarders === options.instances - 1,
    ),
  );
  /** Sets the mode of all links between an instance and the endpoints. */
  const cut = (index: number, mode: LinkMode) =>
    Promise.all(members[index].links.map(link => link.setMode(mode)));
  return {
    endpoints,
    members,
    cut,
    /** Resets open connections, and refuses new ones before any is accepted. */
    partition: async (index: number) => {
      await cut(index, 'cut');
      await cut(index, 'refuse');
    },
    stop: async () => {
      for (const endpoint of endpoints) endpoint.close();
      await Promise.all(members.map(({gateway}) => gateway.stop()));
      await Promise.all(
        members.flatMap(({links}) => links.map(link => link.stop())),
      );
    },
  };
}

function startEndpoints({endpoints, answer}: TestClusterOptions) {
  return Promise.all(
    Array.from({length: endpoints}, async () => {
      const endpoint = new TestEndpoint(answer);
      await endpoint.start();
      return endpoint;
    }),
  );
}

async function startMember(
  instance: string,
  options: {
    readonly route: Route;
    readonly limits?: Partial<CallerLimits>;
    readonly platform: MemoryPlatform;
    readonly endpoints: readonly TestEndpoint[];
  },
) {
  const {route, limits, platform, endpoints} = options;
  const member = await startGateway({
    instance,
    platform,
    graceMs: 1500,
    routes: [route],
    limits,
  });
  const links: Link[] = [];
  for (const [index, endpoint] of endpoints.entries()) {
    const link = new Link({host: LINK_HOST, targetPort: endpoint.port});
    await link.start();
    links.push(link);
    member.endpoints.put(`endpoint-${index}@${link.address}`);
  }
  member.configuration.put('1');
  await waitUntil(() => member.gateway.isReady);
  return {...member, links};
}
