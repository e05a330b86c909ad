/** Identifiers of injected values that have no class of their own. */

import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import type {ServiceIdentifier} from 'inversify';
import type {LeaseTask} from '../agree/lease_task.js';

export const SETTINGS: ServiceIdentifier<EntrySettings> = Symbol('Settings');
/**
 * Whether the process is ready; bound by the process, used by the request
 * intake.
 */
export const IS_READY: ServiceIdentifier<() => boolean> = Symbol('IsReady');
/** The lease for endpoint orders of this data centre. */
export const ORDERS_LEASE: ServiceIdentifier<LeaseTask> = Symbol('OrdersLease');
/** The lease for sealing and reporting usage windows. */
export const USAGE_LEASE: ServiceIdentifier<LeaseTask> = Symbol('UsageLease');
