/** Names of what is injected but has no class of its own. */

import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import type {ServiceIdentifier} from 'inversify';
import type {LeaseTask} from '../agree/lease_task.js';

export const SETTINGS: ServiceIdentifier<EntrySettings> = Symbol('Settings');
/** Asked by the intake; bound by the process that knows. */
export const IS_READY: ServiceIdentifier<() => boolean> = Symbol('IsReady');
/** The lease for endpoint orders of this data centre. */
export const ORDERS_LEASE: ServiceIdentifier<LeaseTask> = Symbol('OrdersLease');
/** The lease for sealing and reporting usage windows. */
export const USAGE_LEASE: ServiceIdentifier<LeaseTask> = Symbol('UsageLease');
