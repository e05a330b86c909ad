/** Rows of endpoints that an older copy of the store has brought back. */

import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import type {EndpointId} from '@snipestage/types/ids.js';
import type {StoreVersion} from '@snipestage/types/store_version.js';

/** An endpoint and the version of its row. */
export interface ListedEndpoint {
  readonly endpoint: ServingEndpoint;
  readonly version: StoreVersion;
}

/**
 * A copy of the store lists endpoints that have gone since, or earlier starts of
 * them. Such a row counts only once it is written again, as an endpoint that is
 * alive does with each heartbeat.
 */
export class OutdatedRows {
  private readonly versions = new Map<EndpointId, StoreVersion>();

  /** Sets the rows that are known to be outdated. */
  replace(rows: readonly ListedEndpoint[]): void {
    this.versions.clear();
    for (const {endpoint, version} of rows) {
      this.versions.set(endpoint.id, version);
    }
  }

  /**
   * Endpoints of a whole read without outdated rows.
   *
   * @example
   * directory.replace(outdated.dropFrom(listed), nowMs);
   */
  dropFrom(listed: readonly ListedEndpoint[]): ServingEndpoint[] {
    return listed
      .filter(({endpoint, version}) => {
        return this.versions.get(endpoint.id) !== version;
      })
      .map(({endpoint}) => endpoint);
  }
}
