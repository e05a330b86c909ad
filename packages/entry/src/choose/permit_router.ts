/** Carries records between permit clients and owners of cells. */

import type {CellInput, CellOutput} from '@snipestage/policy/cell_messages.js';
import type {CellId, InstanceId} from '@snipestage/types/ids.js';

/** A record on its way. */
export type PermitRecord =
  | {
      readonly kind: 'to_owner';
      readonly cell: CellId;
      readonly input: CellInput;
    }
  | {
      readonly kind: 'to_client';
      readonly cell: CellId;
      readonly output: CellOutput;
    };

/** Takes records for other instances; they may be lost. */
export type RemoteSender = (to: InstanceId, record: PermitRecord) => void;

/** Takes records for this instance. */
export type LocalReceiver = (from: InstanceId, record: PermitRecord) => void;

/** Options of {@link PermitRouter}. */
export interface PermitRouterOptions {
  readonly self: InstanceId;
  readonly sendRemote: RemoteSender;
}

/**
 * Local records are worked off one after the other: an owner that answers a
 * client within the client's own call would change it under its feet.
 */
export class PermitRouter {
  private readonly queue: PermitRecord[] = [];
  private isDraining = false;
  private receiver: LocalReceiver = () => {};

  constructor(private readonly options: PermitRouterOptions) {}

  connect(receiver: LocalReceiver): void {
    this.receiver = receiver;
  }

  send(to: InstanceId, record: PermitRecord): void {
    const {self, sendRemote} = this.options;
    if (to !== self) {
      sendRemote(to, record);
      return;
    }
    this.queue.push(record);
    this.drain();
  }

  private drain(): void {
    if (this.isDraining) return;
    this.isDraining = true;
    try {
      for (
        let record = this.queue.shift();
        record !== undefined;
        record = this.queue.shift()
      ) {
        this.receiver(this.options.self, record);
      }
    } finally {
      this.isDraining = false;
    }
  }
}
