/**
 * The pass-through gateway as one process: its tasks, start, reload and stop.
 */

import {randomUUID} from 'node:crypto';
import type {BoundedOutput} from '@snipestage/log/bounded_output.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {PaceChange} from '@snipestage/routing/start_pace.js';
import {
  AgreedClock,
  type StoreClockReading,
} from '@snipestage/routing/agreed_clock.js';
import {ChangeBudget} from '@snipestage/routing/change_budget.js';
import type {RoutingConfiguration} from '@snipestage/routing/route.js';
import {HeldBytes} from '@snipestage/routing/held_bytes.js';
import {StoreTimeline} from '@snipestage/routing/store_timeline.js';
import {Shutdown} from '@snipestage/routing/shutdown.js';
import type {DataCentreId, FencingToken} from '@snipestage/types/ids.js';
import {CallersServer} from './callers_server.js';
import {CrashReporter} from './crash_reporter.js';
import {PartGuard} from './part_guard.js';
import {Duties} from './duties.js';
import {EndpointPaths} from './endpoint_paths.js';
import {EndpointProbes} from './endpoint_probes.js';
import {EventLoopWatch} from './event_loop_watch.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import {createPages} from './gateway_pages.js';
import type {GatewaySettings} from './gateway_settings.js';
import {identifyBy} from './identify_endpoint.js';
import {MemoryGuard} from './memory_guard.js';
import type {OperationsServer} from './operations_server.js';
import type {PassThroughProtocol} from './pass_through_protocol.js';
import {MemoryClient} from './migration/memory_client.js';
import {StreamMover} from './migration/stream_mover.js';
import {Relays} from './relay/relays.js';
import {RequestHandler} from './request_handler.js';
import {RequestSlots} from '@snipestage/routing/request_slots.js';
import {RoutingState} from './routing_state.js';
import {Streams} from './streams/streams.js';
import {SharedFacts} from './shared_facts.js';
import type {RowDecoder} from './row_decoder.js';
import {StateFollower, type FollowedTables} from './state_follower.js';
import {StoreRecovery} from './store_recovery.js';

/** Options of {@link Gateway}. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly platform: Platform;
  readonly protocol: PassThroughProtocol;
  readonly decoder: RowDecoder;
  readonly tables: FollowedTables;
  readonly logger: Logger;
  readonly output: BoundedOutput;
  readonly metrics: GatewayMetrics;
}

const DRAIN_CHECK_EVERY_MS = 100;
/**
 * Time for final answers to reach callers before connections are closed:
 * several round trips, and short compared with what is left of the grace time.
 */
const FLUSH_WAIT_MS = 50;
/** The rest is for endpoints, the store, other instances and files. */
const CALLERS_SHARE_OF_DESCRIPTORS = 0.45;
/** Time to read answers that arrived while the process was frozen. */
const READ_PENDING_WAIT_MS = 20;
/** Half of the grace time that is left after the last requests. */
const FINISH_USAGE_TIMEOUT_MS = 300;

function describeError(error: unknown): string {
  return error instanceof Error
    ? (error.stack ?? error.message)
    : String(error);
}

/** Each request in progress may take one for its endpoint as well. */
function countConnections(maxDescriptors: number): number {
  return Math.floor(maxDescriptors * CALLERS_SHARE_OF_DESCRIPTORS);
}

/** Owns all tasks of the process. */
export class Gateway {
  private readonly state: RoutingState;
  private readonly handler: RequestHandler;
  private readonly callers: CallersServer;
  private readonly operations: readonly OperationsServer[];
  private readonly clock: AgreedClock;
  private readonly timeline = new StoreTimeline();
  private readonly follower: StateFollower;
  private readonly duties: Duties;
  private readonly relays: Relays;
  private readonly paths: EndpointPaths;
  private readonly facts: SharedFacts;
  private readonly streams: Streams;
  private readonly crashes: CrashReporter;
  private readonly incarnation = randomUUID().slice(0, 8);
  private readonly shutdown: Shutdown;
  private readonly loopWatch: EventLoopWatch;
  private stopped: Promise<void> | undefined;

  constructor(private readonly options: GatewayOptions) {
    const {settings, platform, logger} = options;
    const nowMs = () => performance.now();
    this.state = new RoutingState(
      settings.retry,
      settings.warmup,
      settings.loadControls,
    );
    this.shutdown = new Shutdown(settings.shutdown);
    this.loopWatch = new EventLoopWatch({nowMs});
    this.clock = new AgreedClock(nowMs(), Date.now());
    const budget = new ChangeBudget(settings.changes);
    const recovery = new StoreRecovery();
    const facts = (this.facts = new SharedFacts({
      platform,
      logger: logger.forComponent('facts'),
      nowMs,
    }));
    const parts = new PartGuard({
      suspects: this.state.suspects.parts,
      platform,
      logger: logger.forComponent('crashes'),
      metrics: options.metrics,
      nowMs,
    });
    const crashes = (this.crashes = new CrashReporter({
      state: this.state,
      parts,
      instance: settings.instance,
      incarnation: this.incarnation,
      logger: logger.forComponent('crashes'),
      metrics: options.metrics,
      nowMs,
      publish: reported => facts.publishCrashes(reported),
    }));
    this.relays = new Relays({
      instance: settings.instance,
      dataCentre: settings.dataCentre,
      ...settings.relays,
      budget,
      timeline: this.timeline,
      platform,
      loads: this.state.loads,
      demand: this.state.sharedDemand,
      paces: this.state.paces,
      metrics: options.metrics,
      logger: logger.forComponent('relay'),
      nowMs,
      countInstances: () => this.state.instances,
      onEstimate: instances => void facts.publishEstimate(instances),
    });
    this.duties = new Duties({
      settings,
      incarnation: this.incarnation,
      platform,
      state: this.state,
      clock: this.clock,
      facts,
      recovery,
      relays: this.relays,
      logger,
      nowMs,
      isReady: () => this.isReady,
    });
    this.paths = new EndpointPaths({
      ...options,
      state: this.state,
      nowMs,
      isStopping: () => this.shutdown.isStopping,
    });
    this.state.watchPace(change => this.recordPaceChange(change));
    this.streams = new Streams({
      platform,
      state: this.state,
      logger: logger.forComponent('streams'),
      nowMs,
      eraAgeMs: era => this.duties.eraAgeMs(era),
      relayRecords: records => this.relays.record(records),
    });
    this.handler = this.createHandler(crashes, nowMs);
    this.callers = new CallersServer({
      address: settings.callersAddress,
      handler: this.handler,
      metrics: options.metrics,
      maxConnections:
        settings.maxDescriptors && countConnections(settings.maxDescriptors),
      logger: logger.forComponent('callers'),
    });
    this.follower = new StateFollower({
      relays: this.relays,
      recovery,
      streams: this.streams,
      tables: options.tables,
      decoder: options.decoder,
      state: this.state,
      clock: this.clock,
      crashes,
      logger: logger.forComponent('store'),
      nowMs,
      budget,
      timeline: this.timeline,
      onConfiguration: configuration => this.applyConfiguration(configuration),
      onEvacuated: ({length}) => options.metrics.setEvacuated(length),
      onSetBack: () => {
        this.facts.republish();
        this.paths.noteSetBack();
        this.duties.noteSetBack();
        this.streams.noteSetBack();
      },
    });
    this.operations = createPages({
      ...options,
      isReady: () => this.isReady,
      readTableAges: () => this.follower.readAges(),
      countSlow: () => this.state.countSlow(performance.now()),
      dump: () => this.dump(),
    });
  }

  /** Whether configuration and endpoints are known and it isn't stopping. */
  get isReady(): boolean {
    return !this.shutdown.isStopping && this.follower.isComplete;
  }

  /** Version of the configuration in force; undefined before the first. */
  get configurationVersion(): number | undefined {
    return this.state.table?.configuration.version;
  }

  /** Data centres that operators have evacuated, as known to this instance. */
  get evacuated(): readonly DataCentreId[] {
    return this.state.directory.listEvacuated();
  }

  async start(): Promise<void> {
    this.loopWatch.start();
    this.follower.start();
    this.streams.start();
    for (const server of this.operations) await server.start();
    await this.callers.start();
    this.duties.start();
    this.relays.start();
    await this.paths.start();
    this.options.logger.info('started', {
      instance: this.options.settings.instance,
      incarnation: this.incarnation,
    });
  }

  /** Applies settings that were read again; requests continue undisturbed. */
  reload(settings: GatewaySettings): void {
    this.state.changeRetry(settings.retry);
    this.options.logger.info('reloaded', {retryRatio: settings.retry.ratio});
  }

  /** Logs that settings could not be read again; the old ones stay in force. */
  noteReloadFailure(error: unknown): void {
    this.options.logger.error('reload_failed', {error: String(error)});
  }

  /**
   * Records that a task in the background has failed with an error that nothing
   * else handles. Requests in progress don't depend on it: ending the process
   * would cut all of them off, and again after the next start.
   *
   * @example
   * process.on('unhandledRejection', error => gateway.noteTaskFailure(error));
   */
  noteTaskFailure(error: unknown): void {
    this.options.metrics.countFailedTask();
    this.options.logger.error('task_failed', {error: describeError(error)});
  }

  /**
   * Ends after an error that may have left the process in any state: all
   * requests in progress get a final answer first, since a connection that
   * closes without one promises nothing.
   *
   * @returns resolves when the process may exit.
   * @example
   * process.on('uncaughtException', error => {
   *   void gateway.endAfter(error).finally(() => process.exit(1));
   * });
   */
  async endAfter(error: unknown): Promise<void> {
    const {logger, output} = this.options;
    const nowMs = performance.now();
    this.shutdown.begin(nowMs);
    logger.error('process_failed', {
      error: describeError(error),
      inProgress: this.handler.inProgress,
    });
    this.callers.stopListening();
    this.handler.giveUpAll('process_failed');
    await new Promise(done => setTimeout(done, FLUSH_WAIT_MS));
    output.flush();
  }

  /** Takes a reading of the store's clock, from any answer of the store. */
  noteClock(reading: StoreClockReading): void {
    this.clock.noteReading(reading);
    this.timeline.note(reading);
  }

  /** Number of other instances that may forward connections. */
  get knownForwarders(): number {
    return this.paths.knownForwarders;
  }

  /** Fencing token under which duties are carried out now, if they are. */
  get dutyToken(): FencingToken | undefined {
    return this.duties.token;
  }

  /**
   * Hands over the duties, waits until the balancer has noticed and the
   * requests in progress have ended, at most for the grace time; their
   * connections close with their answers. Further calls return the promise of
   * the first. The process exits when it resolves: if it resolved at once, a
   * second signal would cut off requests in progress.
   */
  stop(): Promise<void> {
    this.stopped ??= this.stopOnce();
    return this.stopped;
  }

  private recordPaceChange(change: PaceChange): void {
    const {kind, endpoint, cause, share, afterMs} = change;
    const {id, service} = endpoint;
    this.options.metrics.countPaceChange(service, kind);
    this.options.logger.info(`start_pace_${kind}`, {
      endpoint: id,
      service,
      cause,
      share,
      afterMs: Math.round(afterMs),
    });
  }

  private async stopOnce(): Promise<void> {
    const beganAtMs = performance.now();
    const signalledAtMs = this.loopWatch.earliestArrivalMs();
    this.shutdown.begin(beganAtMs, signalledAtMs);
    this.options.logger.info('stopping', {
      inProgress: this.handler.inProgress,
      heldUpMs: Math.round(beganAtMs - signalledAtMs) || undefined,
    });
    this.duties.handOver();
    void this.relays.stop();
    await this.drain();
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

  private async drain(): Promise<void> {
    for (;;) {
      await new Promise(done => setTimeout(done, DRAIN_CHECK_EVERY_MS));
      const nowMs = performance.now();
      if (this.shutdown.isGraceOver(nowMs)) {
        return this.giveUpRest();
      }
      if (!this.shutdown.hasBalancerNoticed(nowMs)) continue;
      // Requests on new connections might not finish within the grace time.
      await this.closeIdleCallers(nowMs);
      if (this.handler.inProgress + this.paths.inProgress === 0) return;
    }
  }

  /** Closes what is idle, and listens no longer. */
  private async closeIdleCallers(nowMs: number): Promise<void> {
    const heldUpMs = Math.round(nowMs - this.loopWatch.earliestArrivalMs());
    await this.callers.readArrived(
      () => !this.shutdown.isGraceOver(performance.now()),
    );
    const wasListening = this.callers.isListening;
    this.callers.stopListening();
    const closed = this.callers.closeIdle();
    if (!wasListening && closed === 0) return;
    this.options.logger.info('callers_closed', {
      closed,
      stoppedListening: wasListening || undefined,
      heldUpMs: heldUpMs || undefined,
    });
  }

  private async giveUpRest(): Promise<void> {
    // After a freeze of the process, timers fire before sockets are read.
    await new Promise(done => setTimeout(done, READ_PENDING_WAIT_MS));
    const {inProgress} = this.handler;
    this.options.logger.warn('grace_time_over', {inProgress});
    this.handler.giveUpAll('grace_time_over');
    // Data still in flight on a connection would be lost if it closed now.
    await new Promise(done => setTimeout(done, FLUSH_WAIT_MS));
  }

  private async finishUsage(): Promise<void> {
    const limit = new Promise(done =>
      setTimeout(done, FINISH_USAGE_TIMEOUT_MS),
    );
    await Promise.race([this.duties.finishUsage(), limit]);
    this.loopWatch.stop();
    this.paths.stop();
    this.follower.stop();
    this.crashes.stop();
    this.facts.stop();
    this.streams.stop();
  }

  private createHandler(
    crashes: CrashReporter,
    nowMs: () => number,
  ): RequestHandler {
    const {settings, protocol, logger, metrics} = this.options;
    return new RequestHandler({
      state: this.state,
      protocol,
      dataCentre: settings.dataCentre,
      crashes,
      logger: logger.forComponent('callers'),
      metrics,
      nowMs,
      connectTimeout: this.paths.connectTimeout,
      connector: this.paths.connector,
      probes: new EndpointProbes({
        connector: this.paths.connector,
        identify: identifyBy({state: this.state, protocol}),
        // The close of a connection that went silent may be read long after it.
        hasNewOwner: each => this.state.directory.hasNewOwner(each),
        onReplaced: each => this.state.directory.noteGone(each, nowMs()),
        logger: logger.forComponent('callers'),
      }),
      mover: new StreamMover({
        state: this.state,
        client: new MemoryClient({
          protocol,
          connector: this.paths.connector,
          connectTimeout: this.paths.connectTimeout,
        }),
        metrics,
        logger: logger.forComponent('migration'),
        nowMs,
      }),
      streams: this.streams,
      onBegun: ({clientAccount}, atMs) => {
        if (clientAccount === undefined) return;
        this.duties.countUsage(clientAccount, atMs);
      },
      shutdown: this.shutdown,
      memory:
        settings.memory &&
        new MemoryGuard({
          ledger: HeldBytes.forMemory(settings.memory.limitBytes),
          metrics,
          logger: logger.forComponent('callers'),
          nowMs,
        }),
      slots:
        settings.memory && RequestSlots.forMemory(settings.memory.limitBytes),
      earliestArrivalMs: () => this.loopWatch.earliestArrivalMs(),
    });
  }

  private applyConfiguration(configuration: RoutingConfiguration): void {
    const {limits, routes, version} = configuration;
    this.callers.applyLimits(limits);
    this.state.retainRoutes(new Set(routes.map(({id}) => id)));
    this.options.metrics.setConfigurationVersion(version);
  }

  /** Known and estimated state of the process, without callers' keys. */
  private dump(): object {
    return {
      instance: this.options.settings.instance,
      incarnation: this.incarnation,
      isReady: this.isReady,
      isStopping: this.shutdown.isStopping,
      inProgress: this.handler.inProgress,
      configurationVersion: this.configurationVersion,
      tableAgesMs: Object.fromEntries(this.follower.readAges()),
      evacuated: this.evacuated,
      ...this.duties.snapshot(),
      relays: this.relays.snapshot(),
      isIsolated: this.state.isolation.isIsolated,
      knownForwarders: this.knownForwarders,
      unrecordedStreams: this.streams.unrecorded,
      endpoints: this.state.describeEndpoints(performance.now()),
    };
  }
}
