/** The operator: routes, keys, evacuations and their changes. */

import {HEALTH_PATH} from '@snipestage/platform_stand_ins/identity_answers.js';
import {
  writeConfiguration,
  writeEvacuation,
} from '@snipestage/platform_stand_ins/operator_rows.js';
import type {StoreStandIn} from '@snipestage/platform_stand_ins/store_stand_in.js';
import type {
  Route,
  RouteId,
  RouteKind,
  Service,
} from '@snipestage/routing/route.js';
import {
  brandAs,
  type ClientAccountId,
  type DataCentreId,
  type ServiceId,
} from '@snipestage/types/ids.js';
import type {History} from '../history.js';

export const HOST = 'soak.example';
export const ENGINES = brandAs<ServiceId>('engines');
export const BOOKINGS = brandAs<ServiceId>('bookings');

/** A key and the account that holds it. */
export interface IssuedKey {
  readonly key: string;
  readonly clientAccount: ClientAccountId;
}

const ACCOUNT_COUNT = 6;
const KEYS_PER_ACCOUNT = 3;
const ENGINE_BATCH_SIZE = 32;
const ENGINE_CACHE_TOKENS = 500_000;
const ROUTE_TIMEOUT_MS = 12_000;
const MAX_ENGINE_COUNT = 4;
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 16_000_000,
  headerTimeoutMs: 5000,
  idleTimeoutMs: 30_000,
};

/** Routes of the soak, apart from those of markers. */
export const ROUTES: readonly Route[] = [
  describeRoute('look-up', 'idempotent', BOOKINGS),
  describeRoute('book', 'non_idempotent', BOOKINGS),
  describeRoute('write', 'stream', ENGINES),
  {...describeRoute('draft', 'stream', ENGINES), isResumable: true},
];

/** Path prefix of the route that a marker adds. */
export function markerPath(marker: number): string {
  return `/marker-${marker}/`;
}

/** Owns the configuration; each change writes a new version. */
export class Operator {
  private version = 1;
  private markers = 0;
  private readonly issued: IssuedKey[] = [];
  private readonly withdrawn = new Set<string>();

  constructor(
    private readonly store: StoreStandIn,
    private readonly history: History,
    private readonly nowMs: () => number,
  ) {
    for (let account = 1; account <= ACCOUNT_COUNT; account += 1) {
      for (let key = 1; key <= KEYS_PER_ACCOUNT; key += 1) {
        const clientAccount = brandAs<ClientAccountId>(`shop-${account}`);
        this.issued.push({key: `key-${account}-${key}`, clientAccount});
      }
    }
  }

  /** All keys that were ever valid. */
  get keys(): readonly IssuedKey[] {
    return this.issued;
  }

  /** Number of markers added so far; they are numbered from 1. */
  get markerCount(): number {
    return this.markers;
  }

  /** Writes the configuration to the store, under a new version. */
  write(): void {
    this.version += 1 + (this.version % 3);
    this.writeVersion();
  }

  /** Writes again what the store may have lost, as it was. */
  rewrite(): void {
    this.writeVersion();
    for (const {dataCentre, toMs} of this.history.evacuations) {
      writeEvacuation(this.store, dataCentre, toMs > this.nowMs());
    }
  }

  private writeVersion(): void {
    writeConfiguration(this.store, {
      version: this.version,
      routes: [...ROUTES, ...this.markerRoutes()],
      services: [
        this.engines(),
        {
          id: BOOKINGS,
          healthPath: HEALTH_PATH,
          engine: undefined,
          scaling: undefined,
        },
      ],
      limits: LIMITS,
      clientAccounts: this.accounts(),
    });
  }

  /** Adds a route by which callers see whether an instance has this version. */
  addMarker(): void {
    this.markers += 1;
    this.write();
    this.history.markers.set(this.markers, this.nowMs());
  }

  /** Withdraws a key; each account keeps its first. */
  withdrawKey(target: number): void {
    const left = this.issued.filter(
      ({key}) => !this.withdrawn.has(key) && !key.endsWith('-1'),
    );
    if (left.length === 0) return;
    const {key} = left[target % left.length];
    this.withdrawn.add(key);
    this.write();
    this.history.keyWithdrawals.set(key, this.nowMs());
  }

  /**
   * Evacuates a data centre.
   *
   * @returns a function that restores it; undefined when evacuated already.
   */
  evacuate(dataCentre: DataCentreId): (() => void) | undefined {
    const {history, nowMs, store} = this;
    const isEvacuated = history.evacuations.some(
      each => each.dataCentre === dataCentre && each.toMs > nowMs(),
    );
    if (isEvacuated) return undefined;
    writeEvacuation(store, dataCentre, true);
    const toMs = Number.POSITIVE_INFINITY;
    const evacuation = {dataCentre, fromMs: nowMs(), toMs};
    history.evacuations.push(evacuation);
    return () => {
      evacuation.toMs = nowMs();
      writeEvacuation(store, dataCentre, false);
    };
  }

  private markerRoutes(): Route[] {
    return Array.from({length: this.markers}, (_, index) => ({
      ...describeRoute(`marker-${index + 1}`, 'idempotent', BOOKINGS),
    }));
  }

  private engines(): Service {
    return {
      id: ENGINES,
      healthPath: HEALTH_PATH,
      engine: {batchSize: ENGINE_BATCH_SIZE, cacheTokens: ENGINE_CACHE_TOKENS},
      scaling: {
        minCount: 1,
        maxCount: MAX_ENGINE_COUNT,
        bootMs: 1000,
        cheapPriceRatio: 0.2,
        priceByDataCentre: new Map(),
      },
    };
  }

  private accounts() {
    const valid = this.issued.filter(({key}) => !this.withdrawn.has(key));
    const ids = new Set(this.issued.map(({clientAccount}) => clientAccount));
    return [...ids].map(id => ({
      id,
      keys: valid
        .filter(({clientAccount}) => clientAccount === id)
        .map(({key}) => key),
      tier: undefined,
    }));
  }
}

function describeRoute(
  name: string,
  kind: RouteKind,
  service: ServiceId,
): Route {
  return {
    id: brandAs<RouteId>(name),
    host: HOST,
    pathPrefix: `/${name}/`,
    kind,
    targets: [{service, weight: 1}],
    timeoutMs: ROUTE_TIMEOUT_MS,
    latencyTargetMs: 500,
    pauseTargetMs: kind === 'stream' ? 400 : undefined,
    tier: 1,
    maxAttempts: 2,
    isPublic: false,
    isResumable: false,
  };
}
