/** Inputs and outputs of a permit client, and its state dump. */

import type {
  AttemptId,
  CellId,
  EndpointId,
  InstanceId,
} from '@snipestage/types/ids.js';
import type {PermitRefusal} from '@snipestage/types/permits.js';
import type {CellInput} from './cell_messages.js';
import type {CellSnapshot} from './cell_owner.js';
import type {AllotmentSnapshot} from './client_allotment.js';

/** An action that the entry process has to carry out. */
export type ClientOutput =
  /**
   * Send the attempt to the endpoint; a release must follow, however it ends.
   */
  | {
      readonly kind: 'start';
      readonly attempt: AttemptId;
      readonly endpoint: EndpointId;
    }
  /** The attempt has not run and no longer waits. */
  | {
      readonly kind: 'refused';
      readonly attempt: AttemptId;
      readonly refusal: PermitRefusal;
    }
  | {
      readonly kind: 'tell_owner';
      readonly owner: InstanceId;
      readonly input: CellInput;
    };

/** Inputs that describe a cell, from the configuration and the membership. */
export type CellConfigurationInput = Extract<
  CellInput,
  {kind: 'endpoints' | 'classes' | 'instance_joined' | 'instance_gone'}
>;

/** Plain data for the state dump. */
export interface PermitClientSnapshot {
  readonly cell: CellId;
  readonly owner: InstanceId | null;
  readonly waiting: number;
  readonly running: number;
  readonly allotment: AllotmentSnapshot;
  /** Present while the instance decides without an owner. */
  readonly fallback?: CellSnapshot;
}
