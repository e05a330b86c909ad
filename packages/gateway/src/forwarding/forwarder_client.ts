/** Opens tunnels through one other instance. */

import {
  credentials,
  makeGenericClientConstructor,
  type Client,
} from '@grpc/grpc-js';
import {ReadFirstTimeout} from '@snipestage/connection/read_first_timeout.js';
import type {ForwarderAddress} from '@snipestage/routing/forwarder_choice.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import {Tunnel, type TunnelStream} from './tunnel.js';
import {
  TUNNEL_SERVICE,
  type TunnelRefusal,
  type TunnelReply,
} from './tunnel_messages.js';

/** Options of {@link ForwarderClient.open}. */
export interface OpenTunnelOptions {
  readonly endpoint: ServingEndpoint;
  /** Applies to the answer of the forwarder, and again to its connection. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
  readonly isProbe?: boolean;
}

/** Why there is no tunnel; nothing was sent to the endpoint. */
export interface TunnelFailure {
  readonly kind: 'failed';
  /** `no_answer`: the forwarder is gone, or can't be reached. */
  readonly reason: TunnelRefusal | 'no_answer' | 'aborted';
}

interface TunnelClient extends Client {
  connect(): TunnelStream;
}

/** Time for the reply of a forwarder whose own connection has timed out. */
const REPLY_MARGIN_MS = 50;
/**
 * A link that is silent for both times together is closed while tunnels use it.
 * Answers that only its tunnels can bring are lost then, and a forwarder that
 * stands still for some seconds goes on with them. Requests that may go elsewhere
 * don't wait for that.
 */
const KEEPALIVE_EVERY_MS = 1000;
const KEEPALIVE_TIMEOUT_MS = 5000;
/**
 * A client that is closed after a failure connects once more all the same, and
 * would keep a connection to a forwarder that had come back by then.
 */
const RECONNECT_AFTER_MS = 100;
const TunnelStub = makeGenericClientConstructor(TUNNEL_SERVICE, 'Forwarder');

/** Owns one HTTP/2 connection, which its tunnels share. */
export class ForwarderClient {
  private client: TunnelClient | undefined;

  constructor(private readonly address: ForwarderAddress) {}

  /**
   * Opens a connection to an endpoint through the forwarder.
   *
   * @example
   * const tunnel = await client.open({endpoint, timeoutMs: 100, signal});
   */
  async open(options: OpenTunnelOptions): Promise<Tunnel | TunnelFailure> {
    if (options.signal.aborted) return {kind: 'failed', reason: 'aborted'};
    const client = (this.client ??= this.createClient());
    const stream = client.connect();
    const result = await openTunnel(stream, options, this.address);
    const isGone = result.kind === 'failed' && result.reason === 'no_answer';
    // The next tunnel gets a new connection; this one may have gone silent. Its
    // other tunnels go on.
    if (isGone && this.client === client) this.close();
    return result;
  }

  close(): void {
    this.client?.close();
    this.client = undefined;
  }

  private createClient(): TunnelClient {
    return new TunnelStub(this.address, credentials.createInsecure(), {
      'grpc.use_local_subchannel_pool': 1,
      'grpc.keepalive_time_ms': KEEPALIVE_EVERY_MS,
      'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
      'grpc.initial_reconnect_backoff_ms': RECONNECT_AFTER_MS,
    }) as unknown as TunnelClient;
  }
}

function openTunnel(
  stream: TunnelStream,
  {endpoint, timeoutMs, signal, isProbe}: OpenTunnelOptions,
  forwarder: ForwarderAddress,
): Promise<Tunnel | TunnelFailure> {
  return new Promise(resolve => {
    let timeout = new ReadFirstTimeout(() => fail('no_answer'), timeoutMs);
    const settle = (result: Tunnel | TunnelFailure) => {
      timeout.cancel();
      signal.removeEventListener('abort', abort);
      resolve(result);
    };
    const fail = (reason: 'no_answer' | 'aborted') => {
      stream.cancel();
      settle({kind: 'failed', reason});
    };
    const abort = () => fail('aborted');
    signal.addEventListener('abort', abort, {once: true});
    stream.once('metadata', () => {
      timeout.cancel();
      timeout = new ReadFirstTimeout(
        () => fail('no_answer'),
        timeoutMs + REPLY_MARGIN_MS,
      );
    });
    // Kept for the whole stream: an error without a listener ends the process.
    stream.on('error', () => settle({kind: 'failed', reason: 'no_answer'}));
    stream.once('data', (reply: TunnelReply) => {
      if (reply.kind === 'refused') {
        stream.end();
        settle({kind: 'failed', reason: reply.reason});
        return;
      }
      stream.pause();
      settle(new Tunnel(stream, forwarder));
    });
    stream.write({
      kind: 'open',
      endpoint: endpoint.id,
      bornEpochMs: endpoint.bornEpochMs ?? null,
      connectTimeoutMs: timeoutMs,
      isProbe,
    });
  });
}
