/** A link that this process opened, on its own connection. */

import {
  makeGenericClientConstructor,
  type ChannelCredentials,
  type ChannelOptions,
  type Client,
  type ClientDuplexStream,
  type Metadata,
  type ServiceDefinition,
} from '@grpc/grpc-js';
import type {Frame__Output as WireFrameOutput} from './generated/snipestage/peer/Frame.js';
import type {Frame as WireFrame} from './generated/snipestage/peer/Frame.js';
import {isListenerProven, proveCaller} from './peer_credentials.js';
import {PeerLink, type LinkOwner} from './peer_link.js';

/** Largest message that either side accepts: a whole configuration fits. */
export const MAX_MESSAGE_BYTES = 32 * 1024 * 1024;

/**
 * Options for HTTP/2 pings, which detect dead sockets that carry no stream any
 * more. Streams have heartbeats of their own.
 *
 * @example
 * const options = describeKeepalive(settings.heartbeatMs);
 */
export function describeKeepalive(heartbeatMs: number): ChannelOptions {
  return {
    'grpc.keepalive_time_ms': heartbeatMs * KEEPALIVE_INTERVALS,
    'grpc.keepalive_timeout_ms': heartbeatMs * KEEPALIVE_TIMEOUT_INTERVALS,
  };
}

/** Time between two pings, in intervals of `heartbeatMs`. */
const KEEPALIVE_INTERVALS = 40;
/**
 * Time allowed for the answer to a ping, in intervals of `heartbeatMs`. Much
 * longer than streams may be silent: a ping that is overdue ends the streams of
 * its connection too, also when only the answer is late, or was not yet read by
 * a process that stood still.
 */
const KEEPALIVE_TIMEOUT_INTERVALS = 40;

/** Options of {@link DialledLink}. */
export interface DialOptions {
  readonly owner: LinkOwner;
  readonly address: string;
  readonly credentials: ChannelCredentials;
  readonly sharedSecret: string;
  readonly service: ServiceDefinition;
  readonly readNowMs: () => number;
  readonly heartbeatMs: number;
  /** Called when the listener has proven that it knows the shared secret. */
  readonly onProven: (link: DialledLink) => void;
}

/**
 * A stream that replaces a silent one must not use the same socket, which is
 * just as silent. By default grpc-js shares sockets between channels to one
 * address, hence the local pool and one channel per link. Pings continue after
 * a channel is closed, so that the socket of a silent connection is destroyed
 * instead of waiting for the other side to confirm the close.
 */
const CHANNEL_OPTIONS: ChannelOptions = {
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  'grpc.enable_http_proxy': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
  'grpc.keepalive_permit_without_calls': 1,
};

type ExchangeClient = Client & {
  Exchange(metadata: Metadata): ClientDuplexStream<WireFrame, WireFrameOutput>;
};

export class DialledLink extends PeerLink {
  readonly isDialled = true;
  private readonly client: ExchangeClient;
  private readonly call: ClientDuplexStream<WireFrame, WireFrameOutput>;

  constructor(options: DialOptions) {
    super(options.owner, options.readNowMs());
    const PeerClient = makeGenericClientConstructor(options.service, 'Peer');
    this.client = new PeerClient(options.address, options.credentials, {
      ...CHANNEL_OPTIONS,
      ...describeKeepalive(options.heartbeatMs),
    }) as unknown as ExchangeClient;
    const noteHeard = () => (this.lastHeardMs = options.readNowMs());
    this.client.waitForReady(Infinity, error => {
      if (error === undefined) noteHeard();
    });
    const shown = proveCaller(options.sharedSecret);
    this.call = this.client.Exchange(shown);
    this.attach(this.call);
    this.call.on('metadata', (answer: Metadata) => {
      noteHeard();
      if (isListenerProven(options.sharedSecret, shown, answer)) {
        options.onProven(this);
      } else {
        this.end('refused', 'The listener does not know the shared secret.');
      }
    });
  }

  finishSending(): void {
    this.call.end();
  }

  protected release(): void {
    this.call.cancel();
    this.client.close();
  }
}
