/** Finds out whether what accepted a connection is the endpoint itself. */

import {resolveWithin} from '@snipestage/connection/read_first_timeout.js';
import {request as httpRequest, type IncomingMessage} from 'node:http';
import {
  compareIdentity,
  type IdentityMatch,
  type StatedIdentity,
} from '@snipestage/routing/endpoint_identity.js';
import type {Service} from '@snipestage/routing/route.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import type {EndpointConnection} from './endpoint_connection.js';
import type {RoutingState} from './routing_state.js';
import type {
  IdentityRequest,
  PassThroughProtocol,
} from './pass_through_protocol.js';

/** Options of {@link identifyEndpoint}. */
export interface IdentifyEndpointOptions {
  readonly endpoint: ServingEndpoint;
  /** Undefined when the configuration doesn't have it any more. */
  readonly service: Service | undefined;
  /** Accepted by what has the endpoint's address; it is reset afterwards. */
  readonly connection: EndpointConnection;
  readonly protocol: PassThroughProtocol;
  readonly timeoutMs: number;
}

/** `not_asked`: endpoints of the service state nothing of themselves. */
export type Identification = IdentityMatch | 'not_asked';

/** Asks whether what has accepted a connection is the endpoint. */
export type IdentifyEndpoint = (
  endpoint: ServingEndpoint,
  connection: EndpointConnection,
  timeoutMs: number,
) => Promise<Identification>;

/**
 * Returns a function that asks by the configuration in force.
 *
 * @example
 * const probes = new EndpointProbes({
 *   connector,
 *   identify: identifyBy({state, protocol}),
 * });
 */
export function identifyBy({
  state,
  protocol,
}: {
  readonly state: RoutingState;
  readonly protocol: PassThroughProtocol;
}): IdentifyEndpoint {
  return (endpoint, connection, timeoutMs) => {
    const service = state.table?.findService(endpoint.service);
    const asked = {endpoint, service, connection};
    return identifyEndpoint({...asked, protocol, timeoutMs});
  };
}

interface Question {
  readonly request: IdentityRequest;
  readonly connection: EndpointConnection;
  readonly protocol: PassThroughProtocol;
}

const MAX_BODY_BYTES = 64 * 1024;
const NOTHING_STATED: StatedIdentity = {};

/**
 * Asks over an open connection. An address may belong to another endpoint by
 * now, before that one is listed here. Endpoints that state nothing of
 * themselves can only be recognized by their address.
 *
 * @example
 * const match = await identifyEndpoint({endpoint, connection, ...rest});
 */
export async function identifyEndpoint(
  options: IdentifyEndpointOptions,
): Promise<Identification> {
  const {endpoint, service, connection, protocol, timeoutMs} = options;
  const request = service && protocol.composeIdentityRequest(service, endpoint);
  if (request === undefined) {
    connection.reset();
    return 'not_asked';
  }
  const question = {request, connection, protocol};
  const stated = await resolveWithin(ask(question), {
    timeoutMs,
    otherwise: NOTHING_STATED,
  });
  connection.reset();
  return compareIdentity(endpoint, stated);
}

/** Resolves with nothing stated when there is no complete answer. */
function ask({
  request,
  connection,
  protocol,
}: Question): Promise<StatedIdentity> {
  return new Promise(resolve => {
    const call = httpRequest({
      method: 'GET',
      path: request.path,
      headers: [...request.headers],
      setHost: false,
      createConnection: () => connection.createConnection(),
    });
    call.once('response', response => {
      void readBody(response).then(body => {
        const isComplete = body !== undefined;
        resolve(
          isComplete
            ? protocol.readIdentity({headers: response.headers, body})
            : NOTHING_STATED,
        );
      });
    });
    call.on('error', () => resolve(NOTHING_STATED));
    call.end();
  });
}

/** @returns undefined when the body is too long or incomplete. */
async function readBody(
  response: IncomingMessage,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > MAX_BODY_BYTES) return undefined;
      chunks.push(chunk);
    }
  } catch {
    return undefined;
  }
  return response.complete ? Buffer.concat(chunks) : undefined;
}
