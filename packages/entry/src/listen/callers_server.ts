/** The HTTP server for callers. */

import type {ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import restify from 'restify';
import type {RequestIntake} from '../admit/request_intake.js';
import type {ConfigurationStore} from '../configure/configuration_store.js';
import type {CompletionPath} from '../send/engine_driver.js';
import type {ModelHandler} from './model_handler.js';
import {OpenResponses} from './open_responses.js';
import type {ServiceHandler} from './service_handler.js';

const METHODS = ['get', 'post', 'put', 'patch', 'del', 'head', 'opts'] as const;
const MODEL_PATHS: readonly CompletionPath[] = [
  '/v1/chat/completions',
  '/v1/completions',
];

/** Returns why the instance doesn't accept requests; `undefined` if it does. */
export type ReadinessCheck = () => string | undefined;

/** Options of {@link CallersServer}. */
export interface CallersServerOptions {
  readonly host: string;
  readonly port: number;
  readonly store: ConfigurationStore;
  readonly intake: RequestIntake;
  readonly models: ModelHandler;
  readonly services: ServiceHandler;
  readonly notReadyReason: ReadinessCheck;
}

/** Serves callers' requests and health checks, and owns the connections. */
export class CallersServer {
  private readonly server = restify.createServer({name: 'snipestage'});
  private readonly responses = new OpenResponses(this.server.server);

  constructor(private readonly options: CallersServerOptions) {
    this.server.server.keepAliveTimeout = 65_000;
    this.addHealthRoutes();
    this.addModelRoutes();
    this.addServiceRoutes();
  }

  async start(): Promise<AddressInfo> {
    const {host, port} = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve());
    });
    return this.server.address() as AddressInfo;
  }

  /** From now on connections close after their pending responses. */
  beginDraining(): void {
    this.responses.closeAfterResponses();
  }

  /** Resolves when all responses have been sent or their connections closed. */
  whenAnswered(): Promise<void> {
    return this.responses.whenAllSent();
  }

  /** Accepts no new connections and closes idle ones. */
  stopListening(): void {
    this.responses.stopListening();
  }

  closeAllConnections(): void {
    this.server.server.closeAllConnections();
  }

  private addHealthRoutes(): void {
    this.server.get('/healthz', async (request, response) => {
      this.sendJson(response, 200, {status: 'up'});
    });
    this.server.get('/readyz', async (request, response) => {
      const reason = this.options.notReadyReason();
      const status = reason === undefined ? 200 : 503;
      this.sendJson(response, status, {ready: reason === undefined, reason});
    });
  }

  private addModelRoutes(): void {
    this.server.get('/v1/models', async (request, response) => {
      await this.options.intake.serve(request, response, async () => {
        const models = [...this.options.store.current.models.keys()];
        this.sendJson(response, 200, {
          object: 'list',
          data: models.map(id => ({id, object: 'model'})),
        });
      });
    });
    for (const path of MODEL_PATHS) {
      this.server.post(path, async (request, response) => {
        await this.options.intake.serve(request, response, admitted =>
          this.options.models.handle(path, request, response, admitted),
        );
      });
    }
  }

  private addServiceRoutes(): void {
    for (const method of METHODS) {
      this.server[method]('/services/*', async (request, response) => {
        await this.options.intake.serve(request, response, admitted =>
          this.options.services.handle(request, response, admitted),
        );
      });
    }
  }

  private sendJson(
    response: ServerResponse,
    status: number,
    body: object,
  ): void {
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(body));
  }
}
