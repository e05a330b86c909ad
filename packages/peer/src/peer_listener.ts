/** Accepts the streams that other instances open. */

import {
  Metadata,
  Server,
  status,
  type ServerCredentials,
  type ServerDuplexStream,
  type ServiceDefinition,
} from '@grpc/grpc-js';
import {describeKeepalive, MAX_MESSAGE_BYTES} from './dialled_link.js';
import type {Frame__Output as WireFrameOutput} from './generated/snipestage/peer/Frame.js';
import type {Frame as WireFrame} from './generated/snipestage/peer/Frame.js';
import {answerCaller} from './peer_credentials.js';
import {PeerLink, type LinkOwner} from './peer_link.js';

type AcceptedCall = ServerDuplexStream<WireFrameOutput, WireFrame>;

/** A link that another process opened. */
export class AcceptedLink extends PeerLink {
  readonly isDialled = false;

  constructor(
    owner: LinkOwner,
    private readonly call: AcceptedCall,
    nowMs: number,
  ) {
    super(owner, nowMs);
    this.attach(call);
    call.on('cancelled', () => this.end('closed'));
  }

  /** No-op: on the server side of gRPC, ending the writes ends the stream. */
  finishSending(): void {}

  protected release(): void {
    this.call.end();
  }
}

/** Options of {@link PeerListener}. */
export interface PeerListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly credentials: ServerCredentials;
  readonly sharedSecret: string;
  readonly service: ServiceDefinition;
  readonly heartbeatMs: number;
  readonly onAccepted: (call: AcceptedCall) => void;
  readonly onUnauthenticated: (address: string) => void;
}

/** Owns the listening socket. */
export class PeerListener {
  private readonly server: Server;
  private boundPort = 0;

  constructor(private readonly options: PeerListenerOptions) {
    this.server = new Server({
      'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
      'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
      // A connection that went silent is never closed by its other end: a ping
      // without an answer closes the socket.
      ...describeKeepalive(options.heartbeatMs),
    });
    this.server.addService(options.service, {
      Exchange: (call: AcceptedCall) => this.accept(call),
    });
  }

  /** Rejects when the port can't be bound. */
  async listen(): Promise<void> {
    const {host, port, credentials} = this.options;
    const address = formatAddress(host, port);
    this.boundPort = await new Promise<number>((resolve, reject) => {
      this.server.bindAsync(address, credentials, (error, bound) => {
        if (error === null) resolve(bound);
        else reject(error);
      });
    });
  }

  /** `<IP number>:<port>` with the port that was bound. */
  get address(): string {
    return formatAddress(this.options.host, this.boundPort);
  }

  close(): void {
    this.server.forceShutdown();
  }

  private accept(call: AcceptedCall): void {
    const answer = answerCaller(this.options.sharedSecret, call.metadata);
    if (answer === undefined) {
      this.options.onUnauthenticated(call.getPeer());
      call.emit('error', {
        code: status.UNAUTHENTICATED,
        details: 'The shared secret is not the right one.',
        metadata: new Metadata(),
      });
      return;
    }
    call.sendMetadata(answer);
    this.options.onAccepted(call);
  }
}

function formatAddress(host: string, port: number): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
