/** Time bounds of the deployment that a soak simulates. */

import type {Bounds} from '@snipestage/platform_stand_ins/settings_text.js';

/** Similar to those of the smaller deployments. */
export const BOUNDS: Bounds = {
  contactMs: 3000,
  configurationMs: 2000,
  drainMs: 2000,
  graceMs: 8000,
  lossSlackMs: 200,
  leaseMs: 3000,
  usageWindowMs: 5000,
  usageDelayMs: 10_000,
};
