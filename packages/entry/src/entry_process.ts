/** The entry daemon: creates its tasks, and starts and stops them in order. */

import {Logger} from '@snipestage/log/logger.js';
import {Metrics} from '@snipestage/log/metrics.js';
import {PeerNetwork} from '@snipestage/peer/peer_network.js';
import {Platform} from '@snipestage/platform/platform.js';
import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import type {Container} from 'inversify';
import type {LeaseTask} from './agree/lease_task.js';
import {OrderTask} from './agree/order_task.js';
import {UsageCopies} from './account/usage_copies.js';
import {UsageReportTask} from './account/usage_report_task.js';
import {UsageCounterTask} from './account/usage_counter_task.js';
import {ClaimCleanupTask} from './admit/claim_cleanup_task.js';
import {KeyedRequestRunner} from './admit/keyed_request_runner.js';
import {InFlightRequests} from './admit/in_flight_requests.js';
import {RequestIntake} from './admit/request_intake.js';
import {StopGate} from './admit/stop_gate.js';
import {CellOwners} from './choose/cell_owners.js';
import {CellPermits} from './choose/cell_permits.js';
import {ClusterView} from './choose/cluster_view.js';
import {SuspectTrials} from './choose/suspect_trials.js';
import {SuspectGuard} from './choose/suspect_guard.js';
import {monotonicNowMs} from './clock.js';
import {ConfigurationStore} from './configure/configuration_store.js';
import {RevisionTask} from './configure/revision_task.js';
import {createContainer} from './compose/container.js';
import {ORDERS_LEASE, USAGE_LEASE} from './compose/tokens.js';
import {DemandTask} from './endpoints/demand_task.js';
import {EndpointDirectory} from './endpoints/endpoint_directory.js';
import {EndpointListTask} from './endpoints/endpoint_list_task.js';
import {PlanTask} from './endpoints/plan_task.js';
import {CallersServer} from './listen/callers_server.js';
import {ModelHandler} from './listen/model_handler.js';
import {ServiceHandler} from './listen/service_handler.js';
import {AdminServer} from './operate/admin_server.js';
import {Shutdown} from './operate/shutdown.js';
import {PeerTask} from './peers/peer_task.js';
import {connectEndpoints} from './peers/endpoint_records.js';
import {connectUsageCopies} from './peers/usage_records.js';
import {connectSuspects} from './peers/suspect_records.js';
import {readSealedWindows} from './operate/usage_reader.js';
import {GaugeTask} from './operate/gauge_task.js';
import {StateDump} from './operate/state_dump.js';
import {TicketService} from './operate/ticket_service.js';

/** One running instance. */
export class EntryProcess {
  private readonly container: Container;
  private readonly callers: CallersServer;
  private readonly admin: AdminServer;
  private readonly shutdown: Shutdown;
  private readonly logger: Logger;
  private readonly gauges: GaugeTask;

  constructor(private readonly settings: EntrySettings) {
    this.container = createContainer(
      settings,
      () => this.container.get(RevisionTask).isLoaded,
    );
    this.logger = this.container.get(Logger);
    this.gauges = this.createGaugeTask();
    this.callers = this.createCallersServer();
    this.shutdown = this.createShutdown();
    this.admin = this.createAdminServer();
    this.addDumpParts();
    this.followConfiguration();
    connectSuspects(
      this.container.get(PeerTask),
      this.container.get(PeerNetwork),
      this.container.get(SuspectGuard),
      this.container.get(SuspectTrials),
    );
    connectUsageCopies(
      this.container.get(PeerTask),
      this.container.get(PeerNetwork),
      this.container.get(UsageCopies),
    );
    connectEndpoints(
      this.container.get(PeerTask),
      this.container.get(EndpointDirectory),
      this.container.get(DemandTask),
    );
  }

  async start(): Promise<void> {
    const callers = await this.callers.start();
    const admin = await this.admin.start();
    await this.container.get(PeerTask).start();
    for (const lease of this.leases()) lease.start();
    this.container.get(UsageCounterTask).start();
    this.container.get(RevisionTask).start();
    this.container.get(CellPermits).start();
    for (const task of this.backgroundTasks()) task.start();
    this.logger.info('started', {
      dataCentre: this.settings.dataCentre,
      callersPort: callers.port,
      adminPort: admin.port,
    });
  }

  /** Shuts down gracefully; resolves when the shutdown is complete. */
  stop(): Promise<void> {
    return this.shutdown.begin();
  }

  private createCallersServer(): CallersServer {
    const {host, port} = this.settings.callers;
    return new CallersServer({
      host,
      port,
      store: this.container.get(ConfigurationStore),
      intake: this.container.get(RequestIntake),
      models: this.container.get(ModelHandler),
      services: this.container.get(ServiceHandler),
      notReadyReason: () => this.notReadyReason(),
    });
  }

  private createAdminServer(): AdminServer {
    const {host, port, operatorKeyHashes} = this.settings.admin;
    return new AdminServer({
      host,
      port,
      operatorKeyHashes,
      tickets: this.container.get(TicketService),
      status: () => this.status(),
      dump: () => ({
        ...this.container.get(StateDump).read(),
        shutdown: this.shutdown.phase,
      }),
      usage: () => this.usage(),
      drain: () => void this.stop(),
    });
  }

  private createGaugeTask(): GaugeTask {
    return new GaugeTask({
      metrics: this.container.get(Metrics),
      store: this.container.get(ConfigurationStore),
      view: this.container.get(ClusterView),
      owners: this.container.get(CellOwners),
      inFlight: this.container.get(InFlightRequests),
      leases: this.leases(),
      suspects: this.container.get(SuspectGuard),
    });
  }

  private createShutdown(): Shutdown {
    const {balancerLagMs, graceMs} = this.settings.shutdown;
    return new Shutdown({
      balancerLagMs,
      graceMs,
      inFlight: this.container.get(InFlightRequests),
      gate: this.container.get(StopGate),
      clock: monotonicNowMs,
      logger: this.logger.forComponent('shutdown'),
      onBegin: () => this.callers.beginDraining(),
      onNoNewWork: async () => {
        this.callers.stopListening();
        this.container.get(PeerTask).leave();
        await Promise.all(this.leases().map(lease => lease.retire()));
      },
      whenAnswered: () => this.callers.whenAnswered(),
      onIdle: () => this.closeAll(),
    });
  }

  private async closeAll(): Promise<void> {
    const ticketsDone = this.container.get(TicketService).close();
    await this.container.get(KeyedRequestRunner).whenSettled();
    const {finalWritesTimeoutMs} = this.settings.shutdown;
    await this.container.get(UsageCounterTask).stop(finalWritesTimeoutMs);
    await ticketsDone;
    this.container.get(RevisionTask).stop();
    this.container.get(CellPermits).stop();
    for (const task of this.backgroundTasks()) task.stop();
    await this.container.get(PeerTask).stop();
    this.callers.closeAllConnections();
    await this.container.get(Metrics).close();
    this.admin.stop();
  }

  private leases(): LeaseTask[] {
    return [this.container.get(ORDERS_LEASE), this.container.get(USAGE_LEASE)];
  }

  private async usage(): Promise<object> {
    const {windowMs} = this.settings.usage;
    const platform = this.container.get(Platform);
    return {
      counters: this.container.get(UsageCounterTask).snapshot(),
      sealed: await readSealedWindows(platform, windowMs),
    };
  }

  /** Background tasks; none of them takes part in serving a request. */
  private backgroundTasks(): Array<{start(): void; stop(): void}> {
    return [
      this.container.get(EndpointListTask),
      this.container.get(DemandTask),
      this.container.get(PlanTask),
      this.container.get(UsageCopies),
      this.container.get(UsageReportTask),
      this.container.get(ClaimCleanupTask),
      this.gauges,
    ];
  }

  private followConfiguration(): void {
    const store = this.container.get(ConfigurationStore);
    const inFlight = this.container.get(InFlightRequests);
    store.onChange(configuration => {
      this.logger.info('configuration_in_force', {
        revision: configuration.revision,
      });
      inFlight.abortWithdrawn(
        hash => store.keys.findByHash(hash) !== undefined,
      );
    });
  }

  private notReadyReason(): string | undefined {
    if (this.shutdown.hasBegun) return 'shutting down';
    if (this.container.get(RevisionTask).isLoaded) return undefined;
    return 'no configuration yet: neither the platform nor a peer answers';
  }

  private status(): object {
    const {instance, dataCentre} = this.settings;
    const reason = this.notReadyReason();
    return {
      instance,
      dataCentre,
      ready: reason === undefined,
      reason,
      revision: this.container.get(ConfigurationStore).revision,
      inFlight: this.container.get(InFlightRequests).count,
      roles: this.leases()
        .filter(lease => lease.held !== undefined)
        .map(lease => lease.name),
      members: this.container
        .get(PeerNetwork)
        .members()
        .map(({id, dataCentre, state, revision}) => ({
          id,
          dataCentre,
          state,
          revision,
        })),
    };
  }

  private addDumpParts(): void {
    const dump = this.container.get(StateDump);
    const inFlight = this.container.get(InFlightRequests);
    dump.add('status', () => this.status());
    dump.add('inFlight', () => inFlight.snapshot(monotonicNowMs()));
    dump.add('cells', () => this.container.get(CellPermits).snapshot());
    dump.add('suspects', () => this.container.get(SuspectGuard).snapshot());
    dump.add('endpoints', () =>
      this.container.get(EndpointDirectory).snapshot(),
    );
    dump.add('leases', () => this.leases().map(lease => lease.snapshot()));
    dump.add('orders', () => this.container.get(OrderTask).snapshot());
    dump.add('plan', () => this.container.get(PlanTask).snapshot());
    dump.add('peers', () => this.container.get(PeerNetwork).snapshot());
    dump.add('claims', () => ({
      settling: this.container.get(KeyedRequestRunner).settlingCount,
    }));
    dump.add('usage', () => ({
      counters: this.container.get(UsageCounterTask).snapshot(),
      copies: this.container.get(UsageCopies).snapshot(),
      reporting: this.container.get(UsageReportTask).snapshot(),
    }));
    dump.add('configuration', () => {
      const {current, lastConfirmedAtMs} =
        this.container.get(ConfigurationStore);
      return {
        revision: current.revision,
        confirmedAgeMs: Math.round(monotonicNowMs() - lastConfirmedAtMs),
        endpoints: [...current.endpoints.keys()],
        clientAccounts: [...current.clientAccounts.keys()],
      };
    });
  }
}
