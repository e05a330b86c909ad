/** A small deployment of real processes, for tests of whole sessions. */

import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {hashKey} from '@snipestage/configuration/key_hash.js';
import {
  makeEntrySettings,
  type EntrySettingsInput,
} from '@snipestage/stand_ins/launch/entry_settings_input.js';
import {
  Launcher,
  type LaunchedEntry,
  type LaunchedStandIn,
} from '@snipestage/stand_ins/launch/launcher.js';
import {got, type Response} from 'got';

export const OPERATOR_KEY = 'sk-operator-of-the-tests';
export const SHOP_KEY = 'sk-shop';
export const OTHER_KEY = 'sk-other';

const POLL_INTERVAL_MS = 20;
const TIMEOUT_MS = 30_000;
const DEFAULT_DEADLINE_MS = 20_000;

/** Options of {@link TestWorld}. */
export interface TestWorldOptions {
  /** Data centre of each entry instance. */
  readonly entries?: readonly string[];
  /** Data centre of each engine. */
  readonly engines?: readonly string[];
  readonly maxConcurrency?: number;
  /** Deadline of all request classes (20,000 ms). */
  readonly deadlineMs?: number;
  /** Sections that override those of all entries' settings. */
  readonly settings?: Partial<EntrySettingsInput>;
  /**
   * Returns the platform's address for an instance, given the real one; lets a
   * test put a proxy in between.
   */
  readonly platformUrlOf?: (instance: string, url: string) => Promise<string>;
}

/** A change of one object in a ticket; the state `null` removes it. */
export interface TestChange {
  readonly kind: string;
  readonly id: string;
  readonly state: object | null;
}

/** The answer to a call; error statuses don't throw. */
export interface Answer {
  readonly status: number;
  readonly headers: Response['headers'];
  readonly body: string;
}

/** Runs a platform, engines, one booking service and entry instances. */
export class TestWorld {
  readonly launcher = new Launcher();
  readonly entries: LaunchedEntry[] = [];
  platform!: LaunchedStandIn;
  engines!: LaunchedStandIn;
  service!: LaunchedStandIn;
  private ticketNumber = 0;

  private constructor(private readonly options: TestWorldOptions) {}

  static async start(options: TestWorldOptions = {}): Promise<TestWorld> {
    const world = new TestWorld(options);
    try {
      await world.startAll();
    } catch (error) {
      await world.close();
      throw error;
    }
    return world;
  }

  close(): Promise<void> {
    return this.launcher.close();
  }

  /** Submits a ticket with the next number through the first entry. */
  async submit(changes: readonly TestChange[]): Promise<Answer> {
    this.ticketNumber += 1;
    const number = this.ticketNumber;
    const ticket = {number, author: 'test', reason: 'test', changes};
    return this.admin(0, 'POST', 'tickets', ticket);
  }

  async admin(
    entry: number,
    method: 'GET' | 'POST',
    path: string,
    json?: object,
  ): Promise<Answer> {
    const url = `${this.entries[entry].adminUrl}/admin/v1/${path}`;
    const headers = {authorization: `Bearer ${OPERATOR_KEY}`};
    return toAnswer(
      await got(url, {...REQUEST_OPTIONS, method, headers, json}),
    );
  }

  /** Sends a request to an entry's listener for callers. */
  async call(
    entry: number,
    path: string,
    options: {
      readonly key?: string;
      readonly json?: object;
      readonly body?: string;
      readonly method?: 'GET' | 'POST';
      readonly headers?: Record<string, string>;
      readonly signal?: AbortSignal;
    } = {},
  ): Promise<Answer> {
    const {key = SHOP_KEY, json, body, signal} = options;
    const hasBody = json !== undefined || body !== undefined;
    const response = await got(this.entries[entry].callersUrl + path, {
      ...REQUEST_OPTIONS,
      method: options.method ?? (hasBody ? 'POST' : 'GET'),
      headers: {authorization: `Bearer ${key}`, ...options.headers},
      json,
      body,
      signal,
    });
    return toAnswer(response);
  }

  /** Sends a chat request for a fixed number of tokens (4). */
  chat(
    entry: number,
    content: string,
    options: {
      readonly tokens?: number;
      readonly stream?: boolean;
      readonly key?: string;
      readonly headers?: Record<string, string>;
    } = {},
  ): Promise<Answer> {
    return this.call(entry, '/v1/chat/completions', {
      key: options.key,
      headers: options.headers,
      json: {
        model: 'repair',
        stream: options.stream ?? false,
        max_tokens: options.tokens ?? 4,
        messages: [{role: 'user', content}],
      },
    });
  }

  book(entry: number, body: object, idempotencyKey?: string): Promise<Answer> {
    const headers: Record<string, string> =
      idempotencyKey === undefined ? {} : {'idempotency-key': idempotencyKey};
    return this.call(entry, '/services/booking/bookings', {
      json: body,
      headers,
    });
  }

  async control(standIn: {url: string}, command: object): Promise<void> {
    await got.post(`${standIn.url}/control`, {json: command});
  }

  async log(standIn: {url: string}): Promise<Record<string, unknown>> {
    return await got(`${standIn.url}/control/log`).json();
  }

  /** Reads rows directly from the platform's table. */
  async scanTable(
    prefix: string,
  ): Promise<Array<{key: string; value: unknown}>> {
    const {token} = this.entries[0].settings.platform;
    const answer = await got.post(`${this.platform.url}/v1/table/scan`, {
      headers: {authorization: `Bearer ${token}`},
      json: {prefix},
    });
    return JSON.parse(answer.body).rows;
  }

  async status(entry: number): Promise<Record<string, unknown>> {
    return JSON.parse((await this.admin(entry, 'GET', 'status')).body);
  }

  async dump(entry: number): Promise<Record<string, unknown>> {
    return JSON.parse((await this.admin(entry, 'GET', 'dump')).body);
  }

  /** Waits until all entries have at least this revision in force. */
  async waitForRevision(revision: number): Promise<void> {
    for (const index of this.entries.keys()) {
      await waitUntil(
        async () => Number((await this.status(index)).revision) >= revision,
      );
    }
  }

  /** Waits until each entry sees `count` members alive, itself included. */
  async waitForMembers(count = this.entries.length): Promise<void> {
    for (const index of this.entries.keys()) {
      await waitUntil(async () => {
        const {peers} = (await this.dump(index)) as {
          peers: {members: Array<{state: string}>};
        };
        const alive = peers.members.filter(({state}) => state === 'alive');
        return alive.length >= count;
      });
    }
  }

  private async startAll(): Promise<void> {
    const {entries = ['akl-a'], engines = ['akl-a']} = this.options;
    [this.platform, this.engines, this.service] = await Promise.all([
      this.launcher.launchStandIn('platform'),
      this.launcher.launchStandIn('engines', {count: String(engines.length)}),
      this.launcher.launchStandIn('service'),
    ]);
    await this.startEntries(entries);
    await this.waitForMembers();
    await this.submit(this.firstChanges(engines));
    await this.waitForRevision(1);
  }

  private async startEntries(dataCentres: readonly string[]): Promise<void> {
    const settings = await Promise.all(
      dataCentres.map((dataCentre, index) =>
        this.makeSettings(`${dataCentre}-${index + 1}`, dataCentre),
      ),
    );
    const instances = settings.map(({instance, dataCentre, peer}) => ({
      id: instance,
      dataCentre,
      peerAddress: `127.0.0.1:${peer.port}`,
      state: 'live',
    }));
    await this.control(this.platform, {instances});
    const launched = settings.map(each =>
      this.launcher.launchEntry({settings: each}),
    );
    this.entries.push(...(await Promise.all(launched)));
    for (const entry of this.entries) await this.launcher.waitUntilReady(entry);
  }

  private async makeSettings(
    instance: string,
    dataCentre: string,
  ): Promise<EntrySettingsInput> {
    const {url} = this.platform;
    const {platformUrlOf, settings} = this.options;
    return makeEntrySettings({
      instance,
      dataCentre,
      platformUrl: (await platformUrlOf?.(instance, url)) ?? url,
      operatorKey: OPERATOR_KEY,
      changes: settings,
    });
  }

  private firstChanges(engines: readonly string[]): TestChange[] {
    const entries = this.options.entries ?? ['akl-a'];
    const dataCentres = [...new Set([...entries, ...engines])];
    return [
      ...dataCentres.map(id => ({
        kind: 'data_centre',
        id,
        state: {id, region: 'nz-north'},
      })),
      requestClass('counter', 0, this.options.deadlineMs),
      requestClass('summary', 1, this.options.deadlineMs),
      account('shop', SHOP_KEY),
      account('other', OTHER_KEY),
      {
        kind: 'model',
        id: 'repair',
        state: {id: 'repair', typicalOutputTokens: 20},
      },
      BOOKING_SERVICE,
      ...engines.map((dataCentre, index) =>
        this.endpoint(
          `engine-${index + 1}`,
          dataCentre,
          this.engines.urls[index],
        ),
      ),
      {
        kind: 'endpoint',
        id: 'booking-1',
        state: {
          id: 'booking-1',
          dataCentre: dataCentres[0],
          kind: 'regular',
          url: this.service.url,
          serves: {kind: 'service', service: 'booking'},
          maxConcurrency: 16,
          leaving: false,
        },
      },
    ];
  }

  /** Returns a ticket change that sets an engine as an endpoint. */
  endpoint(
    id: string,
    dataCentre: string,
    url: string,
    leaving = false,
  ): TestChange {
    return {
      kind: 'endpoint',
      id,
      state: {
        id,
        dataCentre,
        kind: 'regular',
        url,
        serves: {kind: 'model', model: 'repair'},
        maxConcurrency: this.options.maxConcurrency ?? 8,
        leaving,
      },
    };
  }
}

const REQUEST_OPTIONS = {
  throwHttpErrors: false,
  retry: {limit: 0},
  timeout: {request: TIMEOUT_MS},
} as const;

const BOOKING_SERVICE: TestChange = {
  kind: 'service',
  id: 'booking',
  state: {
    id: 'booking',
    operations: [
      {method: 'GET', pathPrefix: '/stock', idempotent: true},
      {method: 'POST', pathPrefix: '/bookings', idempotent: false},
    ],
    timeoutMs: 5000,
  },
};

/** Returns a ticket change that sets a request class of a tier. */
export function requestClass(
  id: string,
  tier: number,
  deadlineMs = DEFAULT_DEADLINE_MS,
): TestChange {
  return {
    kind: 'request_class',
    id,
    state: {
      id,
      tier,
      firstTokenTargetMs: 310,
      betweenTokensTargetMs: 44,
      deadlineMs,
      guaranteedShare: 0.02,
      cheapEndpointsAllowed: false,
    },
  };
}

/** Returns a ticket change that sets a client account with one key or none. */
export function account(id: string, key?: string): TestChange {
  return {
    kind: 'client_account',
    id,
    state: {
      id,
      keyHashes: key === undefined ? [] : [hashKey(key)],
      requestClasses: ['counter', 'summary'],
      defaultRequestClass: 'counter',
    },
  };
}

/** Returns an idempotency key that no other test uses. */
export function uniqueKey(): string {
  return `key-${randomUUID()}`;
}

/** Waits for a condition; throws after 30 s. */
export async function waitUntil(
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  const deadlineMs = performance.now() + TIMEOUT_MS;
  while (!(await condition())) {
    if (performance.now() > deadlineMs) {
      throw new Error(`timed out waiting for: ${condition.toString()}`);
    }
    await delay(POLL_INTERVAL_MS);
  }
}

function toAnswer(response: Response<string>): Answer {
  return {
    status: response.statusCode,
    headers: response.headers,
    body: response.body,
  };
}
