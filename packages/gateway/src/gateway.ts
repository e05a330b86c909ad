/** The pass-through door as one process: its tasks, start, reload and stop. */

import {randomUUID} from 'node:crypto';
import {LeaseTask} from '@snipestage/entry/agree/lease_task.js';
import {TableExecutor} from '@snipestage/entry/configure/table_executor.js';
import type {BoundedOutput} from '@snipestage/log/bounded_output.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {Platform} from '@snipestage/platform/platform.js';
import {hashText} from '@snipestage/policy/rendezvous.js';
import {
  AgreedClock,
  type StoreClockReading,
} from '@snipestage/routing/agreed_clock.js';
import type {RouteDemand} from '@snipestage/routing/demand_meter.js';
import type {EndpointChange} from '@snipestage/routing/endpoint_directory.js';
import type {RoutingConfiguration} from '@snipestage/routing/route.js';
import {RouteTable} from '@snipestage/routing/route_table.js';
import {UsageWindows} from '@snipestage/routing/usage_windows.js';
import {
  brandAs,
  type FencingToken,
  type Incarnation,
  type LeaseName,
} from '@snipestage/types/ids.js';
import {CallersServer} from './callers_server.js';
import {CapacityDuty} from './capacity_duty.js';
import {ClockKeeper} from './clock_keeper.js';
import {CrashReporter} from './crash_reporter.js';
import {DutyTerm} from './duty_term.js';
import {GatewayMetrics} from './gateway_metrics.js';
import type {GatewaySettings} from './gateway_settings.js';
import {OperationsServer, type OperationsPage} from './operations_server.js';
import type {PassThroughProtocol} from './pass_through_protocol.js';
import {RequestHandler} from './request_handler.js';
import {RoutingState} from './routing_state.js';
import {readFact, SharedFacts} from './shared_facts.js';
import {
  TableFollower,
  type FollowedRow,
  type FollowedTable,
} from './table_follower.js';
import {UsageReporter} from './usage_reporter.js';
import {UsageWriter} from './usage_writer.js';

/** Turns rows of the platform's tables into the product's types. */
export abstract class RowDecoder {
  /** @returns undefined when the row is no configuration. */
  abstract decodeConfiguration(
    row: FollowedRow,
  ): RoutingConfiguration | undefined;
  abstract decodeEndpoint(row: FollowedRow): EndpointChange;
}

/** What a {@link Gateway} is made from. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly platform: Platform;
  readonly protocol: PassThroughProtocol;
  readonly decoder: RowDecoder;
  readonly tables: {
    readonly configuration: FollowedTable;
    readonly endpoints: FollowedTable;
    /** Ours, for what instances tell each other. */
    readonly shared: FollowedTable;
  };
  readonly logger: Logger;
  readonly output: BoundedOutput;
  readonly metrics: GatewayMetrics;
}

const DUTIES_LEASE = brandAs<LeaseName>('duties');
/**
 * A long poll ends after this share of the time in which a change has to be
 * known, whatever happens to a connection: one that has gone silent shows by
 * that, and the rest is left for a new one.
 */
const FOLLOW_WAIT_SHARE = 0.7;
/** Crashes are rare, and the third of a request may be known seconds later. */
const FOLLOW_FACTS_WAIT_MS = 8000;
/** Share of the lease's term by which a holder stops before its end. */
const LEASE_MARGIN_SHARE = 0.15;
/** Renewals in a term: two may be lost. */
const RENEWALS_PER_TERM = 2.5;
/**
 * Each poll is a priced call. It has to come before a lease that was seen last
 * seems to have lapsed, or each challenger writes in vain once a term: at two
 * terms, half of all calls were such writes and the reads after them.
 */
const POLL_TERMS = 1;
/** No handshake on these links takes this long unless its packet was lost. */
const CONNECT_TIMEOUT_MS = 350;
/** Share of a window after which its counts so far are written. */
const USAGE_WRITE_SHARE = 0.5;
/** Some may be cut off from the store, or killed, and one is to be left. */
const LEASE_CANDIDATES = 8;
/** Hashes are 32 bits. */
const HASH_RANGE = 2 ** 32;
/**
 * Share of the time in which a change has to be known that is left for others
 * to come in with the same answer.
 */
const GATHER_SHARE = 0.08;
/** The balancer asks each second and acts on the second miss. */
const BALANCER_LAG_MS = 2200;
const DRAIN_CHECK_EVERY_MS = 100;
/** The end of the grace time is left to write what was counted. */
const GRACE_MARGIN_MS = 600;

/** Owns all tasks of the process. */
export class Gateway {
  private readonly state: RoutingState;
  private readonly handler: RequestHandler;
  private readonly callers: CallersServer;
  private readonly operations: OperationsServer[] = [];
  private readonly followers: TableFollower[] = [];
  private readonly clock: AgreedClock;
  private readonly keeper: ClockKeeper;
  private readonly windows: UsageWindows;
  private readonly lease: LeaseTask;
  private readonly term: DutyTerm;
  private readonly writer: UsageWriter;
  private readonly reporter: UsageReporter;
  private readonly capacity: CapacityDuty;
  private readonly crashes: CrashReporter;
  private readonly facts: SharedFacts;
  private readonly incarnation = randomUUID().slice(0, 8);
  private hasEndpoints = false;
  /** As the holder of the duties counted them; undefined until it is known. */
  private instances: number | undefined;
  private isStopping = false;

  constructor(private readonly options: GatewayOptions) {
    const {settings, platform, protocol, logger, metrics} = options;
    const nowMs = () => performance.now();
    this.state = new RoutingState(settings.retry);
    this.clock = new AgreedClock(nowMs(), Date.now());
    this.windows = new UsageWindows(settings.usage.windowMs);
    this.keeper = new ClockKeeper(platform, this.clock, logger);
    this.facts = new SharedFacts({
      platform,
      logger: logger.forComponent('facts'),
    });
    this.crashes = new CrashReporter({
      state: this.state,
      instance: settings.instance,
      incarnation: this.incarnation,
      logger: logger.forComponent('crashes'),
      nowMs,
      publish: crashes => void this.facts.tellCrashes(crashes),
    });
    this.handler = new RequestHandler({
      state: this.state,
      protocol,
      dataCentre: settings.dataCentre,
      crashes: this.crashes,
      logger: logger.forComponent('callers'),
      metrics,
      nowMs,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      onBegun: ({clientAccount}, atMs) => {
        if (clientAccount === undefined) return;
        this.windows.count(clientAccount, this.clock.epochAt(atMs));
      },
      isDraining: () => this.isStopping,
    });
    this.callers = new CallersServer({
      address: settings.callersAddress,
      handler: this.handler,
      logger: logger.forComponent('callers'),
    });
    this.lease = this.createLease(nowMs);
    this.term = new DutyTerm({
      lease: this.lease,
      apartMs: settings.lease.termMs,
      nowMs,
      nowEpochMs: Date.now,
    });
    this.writer = new UsageWriter({
      platform,
      windows: this.windows,
      clock: this.clock,
      writer: `${settings.instance}.${this.incarnation}`,
      windowMs: settings.usage.windowMs,
      writeEveryMs: () => this.usageWriteEveryMs,
      nowMs,
      logger: logger.forComponent('usage'),
      readDemands: () => this.readDemands(),
    });
    this.reporter = new UsageReporter({
      platform,
      lease: this.lease,
      leaseName: DUTIES_LEASE,
      term: this.term,
      clock: this.clock,
      windowMs: settings.usage.windowMs,
      dueAfterMs: settings.usage.dueAfterMs,
      nowMs,
      logger: logger.forComponent('usage'),
      onRows: rows => void this.facts.tellDemands(rows),
    });
    this.capacity = new CapacityDuty({
      platform,
      term: this.term,
      state: this.state,
      nowMs,
      logger: logger.forComponent('capacity'),
    });
    this.addFollowers();
    this.addOperations();
  }

  /** Ready as soon as the configuration and the endpoints are known. */
  get isReady(): boolean {
    return (
      !this.isStopping && this.state.table !== undefined && this.hasEndpoints
    );
  }

  /** Version in force; undefined before the first. */
  get configurationVersion(): number | undefined {
    return this.state.table?.configuration.version;
  }

  async start(): Promise<void> {
    for (const follower of this.followers) follower.start();
    for (const server of this.operations) await server.start();
    await this.callers.start();
    const {reportsUsage, ordersEndpoints} = this.options.settings.duties;
    if (reportsUsage) {
      this.keeper.start();
      this.writer.start();
      this.reporter.start();
    }
    if (ordersEndpoints) this.capacity.start();
    if (reportsUsage || ordersEndpoints) this.lease.start();
    this.options.logger.info('started', {
      instance: this.options.settings.instance,
      incarnation: this.incarnation,
    });
  }

  /** Settings were read again; requests go on untouched. */
  reload(settings: GatewaySettings): void {
    this.state.changeRetry(settings.retry);
    this.options.logger.info('reloaded', {retryRatio: settings.retry.ratio});
  }

  /** Settings could not be read again; the ones before stay in force. */
  noteBadSettings(error: unknown): void {
    this.options.logger.error('reload_failed', {error: String(error)});
  }

  /** A reading of the store's clock, from any answer. */
  noteClock(reading: StoreClockReading): void {
    this.clock.noteReading(reading);
  }

  /** Under which duties are carried out now. */
  get dutyToken(): FencingToken | undefined {
    return this.term.token;
  }

  /**
   * Lets the balancer notice, hands the duties over and waits for the requests
   * in progress; their connections close with their answers.
   */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const beganAtMs = performance.now();
    this.options.logger.info('stopping', {
      inProgress: this.handler.inProgress,
    });
    this.reporter.stop();
    this.capacity.stop();
    void this.lease.retire();
    await this.drain(beganAtMs);
    this.callers.stopListening();
    this.callers.closeAll();
    await this.finishUsage();
    for (const server of this.operations) server.close();
    this.options.logger.info('stopped', {
      inProgress: this.handler.inProgress,
      tookMs: Math.round(performance.now() - beganAtMs),
    });
    this.options.output.close();
  }

  private async drain(beganAtMs: number): Promise<void> {
    const {graceMs} = this.options.settings.shutdown;
    for (;;) {
      await new Promise(done => setTimeout(done, DRAIN_CHECK_EVERY_MS));
      const sinceMs = performance.now() - beganAtMs;
      if (sinceMs >= graceMs - GRACE_MARGIN_MS) return;
      if (sinceMs < BALANCER_LAG_MS) continue;
      this.callers.closeIdle();
      if (this.handler.inProgress === 0) return;
    }
  }

  private async finishUsage(): Promise<void> {
    const limit = new Promise(done => setTimeout(done, GRACE_MARGIN_MS / 2));
    await Promise.race([this.writer.stop(), limit]);
    for (const follower of this.followers) follower.stop();
  }

  private createLease(nowMs: () => number): LeaseTask {
    const {settings, platform, logger} = this.options;
    const {termMs} = settings.lease;
    return new LeaseTask({
      lease: {
        name: DUTIES_LEASE,
        instance: settings.instance,
        incarnation: brandAs<Incarnation>(this.incarnation),
        termMs,
        marginMs: termMs * LEASE_MARGIN_SHARE,
        renewEveryMs: termMs / RENEWALS_PER_TERM,
        pollEveryMs: termMs * POLL_TERMS,
      },
      executor: new TableExecutor({platform, clock: nowMs}),
      clock: nowMs,
      logger: logger.forComponent('lease'),
      isCandidate: () => this.isReady && this.standsForLease(),
    });
  }

  /**
   * A few stand for the lease; each of them polls its row. By a hash of their
   * names, which instances share without a call; all while none has counted.
   */
  private standsForLease(): boolean {
    const {instances} = this;
    if (instances === undefined) return true;
    const {instance} = this.options.settings;
    const place = hashText(`${DUTIES_LEASE}/${instance}`) / HASH_RANGE;
    return place < LEASE_CANDIDATES / instances;
  }

  /**
   * What a killed instance takes with it of a window that runs. Where one holds
   * less than reports may be off by, it isn't worth a call of each.
   */
  private get usageWriteEveryMs(): number {
    const {windowMs, tolerance} = this.options.settings.usage;
    const isNegligible =
      this.instances !== undefined && 1 / this.instances < tolerance;
    return isNegligible ? windowMs : windowMs * USAGE_WRITE_SHARE;
  }

  private addFollowers(): void {
    const {tables} = this.options;
    const apply = (rows: readonly FollowedRow[]) =>
      this.applyConfiguration(rows);
    const waitMs =
      this.options.settings.changes.knownWithinMs * FOLLOW_WAIT_SHARE;
    this.follow(tables.configuration, waitMs, {
      replaced: apply,
      changed: apply,
      disturbed: () => undefined,
    });
    this.follow(tables.endpoints, waitMs, {
      replaced: rows => this.replaceEndpoints(rows),
      changed: rows => this.changeEndpoints(rows),
      disturbed: () => this.state.directory.noteDisturbance(performance.now()),
    });
    const learn = (rows: readonly FollowedRow[]) => this.learnFacts(rows);
    this.follow(tables.shared, FOLLOW_FACTS_WAIT_MS, {
      replaced: learn,
      changed: learn,
      disturbed: () => undefined,
    });
  }

  private follow(
    table: FollowedTable,
    waitMs: number,
    listener: TableFollower['options']['listener'],
  ): void {
    const logger = this.options.logger.forComponent('store');
    const onClock = this.clock.noteReading.bind(this.clock);
    const gatherMs = this.options.settings.changes.knownWithinMs * GATHER_SHARE;
    this.followers.push(
      new TableFollower({table, listener, logger, waitMs, gatherMs, onClock}),
    );
  }

  /** A version only rises; an older one is a read that came late. */
  private applyConfiguration(rows: readonly FollowedRow[]): void {
    for (const row of rows) {
      const configuration = this.options.decoder.decodeConfiguration(row);
      const current = this.state.table?.configuration.version ?? -1;
      if (configuration === undefined || configuration.version <= current) {
        continue;
      }
      this.state.table = new RouteTable(configuration);
      this.callers.applyLimits(configuration.limits);
      this.options.metrics.setConfigurationVersion(configuration.version);
      this.options.logger.info('configuration_applied', {
        version: configuration.version,
        before: current,
        rowVersion: row.version,
        routes: configuration.routes.length,
      });
    }
  }

  private replaceEndpoints(rows: readonly FollowedRow[]): void {
    const endpoints = rows.flatMap(row => {
      const change = this.options.decoder.decodeEndpoint(row);
      return change.kind === 'listed' ? [change.endpoint] : [];
    });
    this.state.directory.replace(endpoints, performance.now());
    this.hasEndpoints = true;
    this.options.logger.info('endpoints_read', {count: endpoints.length});
  }

  private changeEndpoints(rows: readonly FollowedRow[]): void {
    const changes = rows.map(row => this.options.decoder.decodeEndpoint(row));
    const {logger} = this.options;
    for (const change of changes) {
      if (change.kind === 'listed') {
        const {id, isLeaving, service} = change.endpoint;
        this.noteNewLife(change.endpoint);
        logger.info('endpoint_listed', {endpoint: id, isLeaving, service});
      } else {
        logger.info(`endpoint_${change.kind}`, {endpoint: change.id});
      }
    }
    this.state.directory.apply(changes, performance.now());
  }

  private noteNewLife(
    endpoint: Extract<EndpointChange, {kind: 'listed'}>['endpoint'],
  ): void {
    const known = this.state.directory.find(endpoint.id);
    if (known === undefined) return;
    const isNewLife = known.bornEpochMs !== endpoint.bornEpochMs;
    if (isNewLife) this.crashes.noteUnreachable(endpoint);
  }

  private learnFacts(rows: readonly FollowedRow[]): void {
    const facts = rows.map(readFact).filter(fact => fact !== undefined);
    for (const fact of facts) {
      if (fact.kind === 'crash') {
        this.crashes.learn([fact.crash]);
        continue;
      }
      const {service, demands, instances} = fact;
      this.instances = instances;
      this.state.agreedDemand.learn(service, demands, performance.now());
      this.options.logger.info('demand_learnt', {
        service,
        routes: demands.length,
        instances,
      });
    }
  }

  private readDemands(): Record<string, readonly RouteDemand[]> {
    const {demandToTell, table} = this.state;
    const services = demandToTell
      .listServices()
      .filter(id => table?.findService(id)?.engine !== undefined);
    const nowMs = performance.now();
    const entries = services.map(id => [id, demandToTell.read(id, nowMs)]);
    return Object.fromEntries(entries);
  }

  private addOperations(): void {
    const {settings, metrics, output} = this.options;
    const readiness = async (): Promise<OperationsPage> => ({
      status: this.isReady ? 200 : 503,
      type: 'text/plain',
      body: this.isReady ? 'ready\n' : 'not ready\n',
    });
    this.operations.push(
      new OperationsServer(settings.readinessAddress, readiness),
    );
    if (settings.metricsAddress === undefined) return;
    const pages = async (path: string): Promise<OperationsPage | undefined> => {
      if (path === '/metrics') {
        metrics.setDroppedLines(output.dropped);
        const body = await metrics.render();
        return {status: 200, type: 'text/plain; version=0.0.4', body};
      }
      if (path !== '/state') return undefined;
      const body = JSON.stringify(this.dump(), null, 2);
      return {status: 200, type: 'application/json', body};
    };
    this.operations.push(new OperationsServer(settings.metricsAddress, pages));
  }

  /** What the process knows and believes; no keys. */
  private dump(): object {
    const nowMs = performance.now();
    const {directory, monitor, table} = this.state;
    return {
      instance: this.options.settings.instance,
      incarnation: this.incarnation,
      isReady: this.isReady,
      isStopping: this.isStopping,
      inProgress: this.handler.inProgress,
      configurationVersion: table?.configuration.version,
      lease: this.lease.snapshot(),
      isClockTied: this.clock.isTied,
      endpoints: directory.readAll().map(endpoint => ({
        ...endpoint,
        isDown: monitor.isDown(endpoint.id, nowMs),
        load: monitor.estimateLoad(endpoint.id, nowMs),
        failureShare: monitor.failureShare(endpoint.id, nowMs),
        inFlight: monitor.inFlight(endpoint.id),
      })),
    };
  }
}
