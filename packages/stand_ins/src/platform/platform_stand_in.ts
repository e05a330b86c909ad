/** A stand-in for the platform: table, objects, orders, reports and lists. */

import type {IncomingMessage} from 'node:http';
import type {
  EndpointOrder,
  ListedEndpoint,
  ListedInstance,
  UsageReport,
} from '@snipestage/types/platform_messages.js';
import type {TableTransaction} from '@snipestage/types/table.js';
import {parseJson} from '../http/exchange.js';
import {
  StandInServer,
  type Answer,
  type ListenOptions,
} from '../http/stand_in_server.js';
import {LaggedValue} from '../lagged_value.js';
import {
  EndpointProvisioner,
  type EndpointProvisionerOptions,
} from './endpoint_provisioner.js';
import {
  platformControlSchema,
  type PlatformControl,
} from './platform_control.js';
import {PlatformLog, toReceived} from './platform_log.js';
import {Table} from './table.js';

/** Options of {@link PlatformStandIn}. */
export interface PlatformStandInOptions extends ListenOptions {
  readonly token?: string;
  readonly instances?: readonly ListedInstance[];
  readonly listLagMs?: number;
  readonly endpoints?: Omit<EndpointProvisionerOptions, 'onChange'>;
}

export const DEFAULT_PLATFORM_TOKEN = 'stand-in-platform-token';

const OBJECTS_PATH = '/v1/objects/';

/** Keeps all state in memory; a new stand-in's table and objects are empty. */
export class PlatformStandIn extends StandInServer {
  readonly token: string;
  readonly table = new Table();
  readonly objects = new Map<string, Buffer>();
  readonly log = new PlatformLog();
  readonly provisioner: EndpointProvisioner;
  private readonly instances: LaggedValue<readonly ListedInstance[]>;
  private readonly endpoints: LaggedValue<readonly ListedEndpoint[]>;
  private readonly orderAnswers = new Map<string, Answer>();
  private readonly reportTexts = new Map<string, string>();

  constructor(options: PlatformStandInOptions = {}) {
    super(options);
    this.token = options.token ?? DEFAULT_PLATFORM_TOKEN;
    this.instances = new LaggedValue(
      options.instances ?? [],
      options.listLagMs,
    );
    this.endpoints = new LaggedValue<readonly ListedEndpoint[]>(
      [],
      options.listLagMs,
    );
    this.provisioner = new EndpointProvisioner({
      ...options.endpoints,
      onChange: () => this.endpoints.set(this.provisioner.listed, Date.now()),
    });
    this.serveTable();
    this.serveObjects();
    this.serveOrdersAndReports();
    this.serveLists();
  }

  override async stop(): Promise<void> {
    await this.provisioner.stop();
    await super.stop();
  }

  /**
   * Changes lists, faults and the availability of cheap endpoints.
   *
   * @example
   * platform.control({faults: {table: {mode: 'lose_answer', count: 1}}});
   */
  control(command: PlatformControl): void {
    for (const [area, fault] of Object.entries(command.faults ?? {})) {
      this.faults.set(area, fault);
    }
    this.instances.lagMs = command.listLagMs ?? this.instances.lagMs;
    this.endpoints.lagMs = command.listLagMs ?? this.endpoints.lagMs;
    const {cheapAvailable, instances, reclaimCheap} = command;
    if (instances !== undefined) this.instances.set(instances, Date.now());
    for (const listed of command.adopt ?? []) this.provisioner.adopt(listed);
    if (cheapAvailable !== undefined) {
      this.provisioner.cheapAvailable = cheapAvailable;
    }
    if (reclaimCheap !== undefined) this.provisioner.reclaimCheap(reclaimCheap);
  }

  protected override applyControl(command: unknown): void {
    this.control(platformControlSchema.parse(command));
  }

  protected override report(): object {
    const nowEpochMs = Date.now();
    const runningMs = {
      regular: this.provisioner.runningMs('regular', nowEpochMs),
      cheap: this.provisioner.runningMs('cheap', nowEpochMs),
    };
    return {...this.log, runningMs};
  }

  protected override get requiredAuthorization(): string {
    return `Bearer ${this.token}`;
  }

  private serveTable(): void {
    const {calls} = this.log;
    this.serve({
      method: 'post',
      path: '/v1/table/read',
      area: 'table',
      keysOf: (_request, body) => parseJson<{keys: string[]}>(body).keys,
      run: ({body}) => {
        calls.reads += 1;
        const {keys} = parseJson<{keys: string[]}>(body);
        return {status: 200, body: {rows: this.table.read(keys)}};
      },
    });
    this.serve({
      method: 'post',
      path: '/v1/table/scan',
      area: 'table',
      keysOf: (_request, body) => [parseJson<{prefix: string}>(body).prefix],
      run: ({body}) => {
        calls.scans += 1;
        const {prefix} = parseJson<{prefix: string}>(body);
        return {status: 200, body: {rows: this.table.scan(prefix)}};
      },
    });
    this.serve({
      method: 'post',
      path: '/v1/table/transact',
      area: 'table',
      keysOf: (_request, body) => keysOf(parseJson<TableTransaction>(body)),
      run: ({body}) => {
        calls.transactions += 1;
        return this.transact(parseJson<TableTransaction>(body));
      },
    });
  }

  private transact(transaction: TableTransaction): Answer {
    const outcome = this.table.transact(transaction);
    return outcome.kind === 'committed'
      ? {status: 200, body: {versions: outcome.versions}}
      : {status: 409, body: {rows: outcome.rows}};
  }

  private serveObjects(): void {
    const {calls} = this.log;
    const place = {
      path: `${OBJECTS_PATH}*`,
      area: 'objects',
      keysOf: (request: IncomingMessage) => [objectKeyOf(request)],
    };
    this.serve({
      ...place,
      method: 'get',
      run: ({request}) => {
        calls.objectReads += 1;
        const body = this.objects.get(objectKeyOf(request));
        return body === undefined
          ? {status: 404, body: {reason: 'There is no such object.'}}
          : {status: 200, body};
      },
    });
    this.serve({
      ...place,
      method: 'put',
      run: ({request, body}) => {
        calls.objectWrites += 1;
        this.objects.set(objectKeyOf(request), body);
        return {status: 200, body: {}};
      },
    });
  }

  private serveOrdersAndReports(): void {
    this.serve({
      method: 'post',
      path: '/v1/endpoint-orders',
      area: 'orders',
      run: call => {
        const order = parseJson<EndpointOrder>(call.body);
        const answer = this.orderAnswers.get(order.id) ?? this.carryOut(order);
        this.log.orders.push(toReceived(call, order, answer.status));
        return answer;
      },
    });
    this.serve({
      method: 'post',
      path: '/v1/usage-reports',
      area: 'reports',
      run: call => {
        const report = parseJson<UsageReport>(call.body);
        const answer = this.takeReport(report);
        this.log.reports.push(toReceived(call, report, answer.status));
        return answer;
      },
    });
  }

  /**
   * Carries out an order. The answer to an accepted order is stored by its id,
   * so that a repeat is not carried out again.
   */
  private carryOut(order: EndpointOrder): Answer {
    const reason = this.provisioner.carryOut(order);
    if (reason !== undefined) return {status: 422, body: {reason}};
    const answer = {status: 200, body: {}};
    this.orderAnswers.set(order.id, answer);
    return answer;
  }

  private takeReport(report: UsageReport): Answer {
    const text = JSON.stringify(report);
    const earlier = this.reportTexts.get(report.window) ?? text;
    if (earlier !== text) {
      const reason = `Window ${report.window} was reported otherwise.`;
      return {status: 409, body: {reason}};
    }
    this.reportTexts.set(report.window, text);
    return {status: 200, body: {}};
  }

  private serveLists(): void {
    const lists = {
      '/v1/instances': this.instances,
      '/v1/endpoints': this.endpoints,
    };
    for (const [path, list] of Object.entries(lists)) {
      this.serve({
        method: 'get',
        path,
        area: 'lists',
        run: () => {
          this.log.calls.lists += 1;
          const items = list.read(Date.now()).value;
          return {status: 200, body: {items}};
        },
      });
    }
  }
}

function keysOf(transaction: TableTransaction): string[] {
  return [...transaction.checks, ...transaction.writes].map(({key}) => key);
}

function objectKeyOf(request: IncomingMessage): string {
  const path = (request.url ?? '').split('?')[0];
  return decodeURIComponent(path.slice(OBJECTS_PATH.length));
}
