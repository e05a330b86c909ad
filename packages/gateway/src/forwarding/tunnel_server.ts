/** Opens connections to endpoints for other instances. */

import {Metadata, Server, ServerCredentials, status} from '@grpc/grpc-js';
import type {Socket} from 'node:net';
import {closesCleanly} from '@snipestage/connection/closes_cleanly.js';
import type {
  ConnectFailure,
  FreshConnection,
} from '@snipestage/connection/fresh_connection.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import type {DirectConnector} from '../direct_connector.js';
import type {RoutingState} from '../routing_state.js';
import {
  readOpenTunnel,
  TUNNEL_SERVICE,
  type OpenTunnel,
  type TunnelCall,
  type TunnelRefusal,
  type TunnelRequest,
  type TunnelSignal,
} from './tunnel_messages.js';

/** Options of {@link TunnelServer}. */
export interface TunnelServerOptions {
  /** `<IP address>:<port>` */
  readonly address: string;
  readonly state: RoutingState;
  readonly direct: DirectConnector;
  readonly nowMs: () => number;
  /** Whether this instance accepts further tunnels. */
  readonly isOpen: () => boolean;
}

/** Beyond this, other instances serve isolated ones better. */
const MAX_TUNNELS = 256;
const MAX_CONNECT_TIMEOUT_MS = 350;
/**
 * A connection to another endpoint within this time shows that a failure is the
 * endpoint's, not this instance's.
 */
const RECENT_CONNECTION_MS = 2000;
/** Time for the other side to end a call after the last message. */
const END_TIMEOUT_MS = 1000;
const MAX_MESSAGE_BYTES = 256 * 1024;

/** Owns the listening socket and the tunnels. */
export class TunnelServer {
  private readonly server = new Server({
    'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  });
  private readonly calls = new Set<TunnelCall>();

  constructor(private readonly options: TunnelServerOptions) {
    this.server.addService(TUNNEL_SERVICE, {
      connect: (call: TunnelCall) => this.accept(call),
    });
  }

  /** Tunnels that the other side may not have read to the end. */
  get inProgress(): number {
    return this.calls.size;
  }

  /** Rejects when the address can't be bound. */
  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.bindAsync(
        this.options.address,
        ServerCredentials.createInsecure(),
        error => (error === null ? resolve() : reject(error)),
      );
    });
  }

  /** Ends all tunnels. */
  stop(): void {
    this.server.forceShutdown();
  }

  private accept(call: TunnelCall): void {
    // Shows the other side that this process is alive.
    call.sendMetadata(new Metadata());
    call.once('data', (message: unknown) => {
      call.pause();
      const open = readOpenTunnel(message);
      if (open === undefined) {
        call.emit('error', {code: status.INVALID_ARGUMENT});
        return;
      }
      void this.serve(call, open);
    });
    call.on('error', () => this.calls.delete(call));
  }

  private async serve(call: TunnelCall, open: OpenTunnel): Promise<void> {
    const endpoint = this.findEndpoint(open);
    const refusal = this.explainRefusal(endpoint);
    if (endpoint === undefined || refusal !== undefined) {
      this.refuse(call, refusal ?? 'not_serving');
      return;
    }
    this.calls.add(call);
    // The other side may read the rest long after the endpoint has closed.
    const remove = () => this.calls.delete(call);
    call.once('finish', remove);
    call.once('cancelled', remove);
    const connection = await this.connect(call, endpoint, open);
    if (connection.kind === 'failed') {
      this.refuse(call, this.explainFailure(connection));
      return;
    }
    const socket = connection.createConnection();
    void closesCleanly(socket).then(isClean =>
      finish(call, {kind: isClean ? 'closed' : 'reset'}),
    );
    if (call.cancelled) {
      connection.reset();
      return;
    }
    call.on('cancelled', () => connection.reset());
    call.write({kind: 'connected'});
    join(call, socket);
  }

  private findEndpoint({
    endpoint,
    bornEpochMs,
    isProbe = false,
  }: OpenTunnel): ServingEndpoint | undefined {
    const {state, nowMs} = this.options;
    // A leaving endpoint still finishes answers after it was removed.
    const found = isProbe
      ? state.directory.findRecent(endpoint)
      : state.directory.find(endpoint);
    if (found === undefined || (found.bornEpochMs ?? null) !== bornEpochMs) {
      return undefined;
    }
    const isServing = state.directory.mayStillSend(found, nowMs());
    return isServing || isProbe ? found : undefined;
  }

  private explainRefusal(
    endpoint: ServingEndpoint | undefined,
  ): TunnelRefusal | undefined {
    const {isOpen, state} = this.options;
    if (!isOpen() || this.calls.size >= MAX_TUNNELS) return 'unavailable';
    if (state.isolation.hasSilentLinks) return 'isolated';
    return endpoint === undefined ? 'not_serving' : undefined;
  }

  private async connect(
    call: TunnelCall,
    endpoint: ServingEndpoint,
    {connectTimeoutMs}: OpenTunnel,
  ): Promise<FreshConnection | ConnectFailure> {
    const cancellation = new AbortController();
    const abort = () => cancellation.abort();
    call.on('cancelled', abort);
    const connection = await this.options.direct.open({
      endpoint,
      timeoutMs: Math.min(connectTimeoutMs, MAX_CONNECT_TIMEOUT_MS),
      signal: cancellation.signal,
    });
    call.off('cancelled', abort);
    return connection;
  }

  private explainFailure({timedOut}: ConnectFailure): TunnelRefusal {
    const {state, nowMs} = this.options;
    const {isolation} = state;
    const reachesOthers =
      !isolation.isIsolated &&
      isolation.hasConnectedSince(nowMs() - RECENT_CONNECTION_MS);
    if (!reachesOthers) return 'unconfirmed';
    return timedOut ? 'timed_out' : 'refused';
  }

  private refuse(call: TunnelCall, reason: TunnelRefusal): void {
    finish(call, {kind: 'refused', reason});
  }
}

/**
 * Sends the last message and ends the call once the other side has ended it: if
 * this side were first, the other one would have to reset the stream.
 */
function finish(call: TunnelCall, last: TunnelSignal): void {
  call.write(last);
  if (call.readableEnded) {
    call.end();
    return;
  }
  const timer = setTimeout(() => call.end(), END_TIMEOUT_MS);
  call.once('end', () => {
    clearTimeout(timer);
    call.end();
  });
  call.resume();
}

/** Passes bytes in both directions, no faster than they are read. */
function join(call: TunnelCall, socket: Socket): void {
  socket.on('data', bytes => {
    if (call.write({kind: 'bytes', bytes})) return;
    socket.pause();
    call.once('drain', () => socket.resume());
  });
  call.on('data', (message: TunnelRequest) => {
    if (message.kind !== 'bytes' || socket.write(message.bytes)) return;
    call.pause();
    socket.once('drain', () => call.resume());
  });
  call.on('end', () => socket.end());
  call.resume();
}
