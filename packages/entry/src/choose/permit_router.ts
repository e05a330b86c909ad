/** Routes records between permit clients and cell owners. */

import type {CellInput, CellOutput} from '@snipestage/policy/cell_messages.js';
import type {CellId, InstanceId} from '@snipestage/types/ids.js';

/** A message between a permit client and the owner of a cell. */
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

/** Sends a record to another instance; it may be lost. */
export type RemoteSender = (to: InstanceId, record: PermitRecord) => void;

/** Handles records addressed to this instance. */
export type LocalReceiver = (from: InstanceId, record: PermitRecord) => void;

/** Options of {@link PermitRouter}. */
export interface PermitRouterOptions {
  readonly self: InstanceId;
  readonly sendRemote: RemoteSender;
}

/**
 * Routes each record to its instance. Local records are queued and handled one
 * at a time: an owner that answered a client within the client's own call would
 * change the client's state during that call.
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
