/** A connection to an endpoint through another instance. */

import type {ClientDuplexStream} from '@grpc/grpc-js';
import {Duplex} from 'node:stream';
import type {ForwarderAddress} from '@snipestage/routing/forwarder_choice.js';
import type {Verdict} from '@snipestage/types/verdict.js';
import {EndpointConnection} from '../endpoint_connection.js';
import type {TunnelReply, TunnelRequest} from './tunnel_messages.js';

export type TunnelStream = ClientDuplexStream<TunnelRequest, TunnelReply>;

const MAX_CHUNK_BYTES = 64 * 1024;
/** Time for the end of the connection once nothing more is to be sent. */
const CLOSE_TIMEOUT_MS = 1000;

/** The bytes of a tunnel as a stream that `http.request` can use. */
class TunnelSocket extends Duplex {
  hasWrittenBytes = false;
  hasPathBroken = false;
  pathError: string | undefined;
  /** Whether the forwarder has reported the end of its connection. */
  private hasEnded = false;
  private closing: NodeJS.Timeout | undefined;

  constructor(
    private readonly stream: TunnelStream,
    private readonly onOver: (isClean: boolean) => void,
  ) {
    super({allowHalfOpen: false});
    stream.on('data', (reply: TunnelReply) => this.handle(reply));
    stream.on('error', error => this.breakPath(error));
    stream.on('end', () => this.breakPath(new Error('the tunnel ended')));
    // Errors reach the request that uses the stream; without this listener, one
    // while no request uses it would end the process.
    this.on('error', () => undefined);
  }

  override _read(): void {
    this.stream.resume();
  }

  override _write(
    chunk: Buffer | string,
    encoding: BufferEncoding,
    done: (error?: Error | null) => void,
  ): void {
    this.hasWrittenBytes = true;
    const bytes = Buffer.from(chunk as string, encoding);
    this.send(bytes, done);
  }

  override _final(done: (error?: Error | null) => void): void {
    this.stream.end();
    this.closing = setTimeout(() => this.destroy(), CLOSE_TIMEOUT_MS);
    this.closing.unref();
    done();
  }

  override _destroy(
    error: Error | null,
    done: (error: Error | null) => void,
  ): void {
    clearTimeout(this.closing);
    // A stream that both sides end needs no reset: servers close a link on which
    // they get many resets.
    if (this.hasEnded) this.stream.end();
    else this.stream.cancel();
    this.onOver(this.hasEnded && error === null);
    done(error);
  }

  private send(bytes: Buffer, done: () => void): void {
    const rest = bytes.subarray(MAX_CHUNK_BYTES);
    const message: TunnelRequest = {
      kind: 'bytes',
      bytes: bytes.subarray(0, MAX_CHUNK_BYTES),
    };
    this.stream.write(message, () => {
      if (rest.length === 0) done();
      else this.send(rest, done);
    });
  }

  private handle(reply: TunnelReply): void {
    if (reply.kind === 'bytes') {
      if (!this.push(reply.bytes)) this.stream.pause();
    } else if (reply.kind === 'closed') {
      this.hasEnded = true;
      this.stream.end();
      this.push(null);
    } else if (reply.kind === 'reset') {
      this.hasEnded = true;
      this.destroy(new Error('the endpoint reset the connection'));
    }
  }

  private breakPath(error: Error): void {
    if (this.hasEnded || this.destroyed) return;
    this.hasPathBroken = true;
    this.pathError = error.message;
    this.destroy(error);
  }
}

/** An open tunnel. */
export class Tunnel extends EndpointConnection {
  readonly path = 'forwarded';
  readonly closedCleanly: Promise<boolean>;
  private readonly socket: TunnelSocket;

  constructor(
    stream: TunnelStream,
    override readonly forwarder: ForwarderAddress,
  ) {
    super();
    let settle: (isClean: boolean) => void = () => undefined;
    this.closedCleanly = new Promise(resolve => (settle = resolve));
    this.socket = new TunnelSocket(stream, isClean => settle(isClean));
  }

  get verdict(): Verdict {
    return this.socket.hasWrittenBytes ? 'may_have_run' : 'not_run';
  }

  get hasPathBroken(): boolean {
    return this.socket.hasPathBroken;
  }

  override get pathError(): string | undefined {
    return this.socket.pathError;
  }

  createConnection(): Duplex {
    return this.socket;
  }

  reset(): void {
    this.socket.destroy();
  }
}
