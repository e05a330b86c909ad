/** Serves calls of plain services. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {RequestError} from '@snipestage/errors/request_error.js';
import type {AttemptLimit} from '@snipestage/policy/stop_admission.js';
import type {Service} from '@snipestage/types/configuration.js';
import type {UsageCounterTask} from '../account/usage_counter_task.js';
import type {KeyedRequestRunner} from '../admit/keyed_request_runner.js';
import {mayDiscard} from '../admit/response_recorder.js';
import {idempotencyKeyOf} from '../identify/idempotency_key.js';
import type {AdmittedRequest} from '../admit/request_intake.js';
import type {StopGate} from '../admit/stop_gate.js';
import type {ConfigurationStore} from '../configure/configuration_store.js';
import {fingerprintOf} from '../identify/fingerprint.js';
import {forwardedRequestHeaders} from '../send/forwarded_headers.js';
import type {ServiceAnswer} from '../send/service_driver.js';
import type {ServiceRunner, ServiceWork} from '../send/service_runner.js';
import {readBody} from './read_body.js';
import {findOperation, parseServicePath} from './service_path.js';

/** Options of {@link ServiceHandler}. */
export interface ServiceHandlerOptions {
  readonly store: ConfigurationStore;
  readonly runner: ServiceRunner;
  readonly claims: KeyedRequestRunner;
  readonly gate: StopGate;
  readonly usage: UsageCounterTask;
  readonly maxBodyBytes: number;
}

/** Forwards calls of any method, path and body below `/services/<service>/`. */
export class ServiceHandler {
  constructor(private readonly options: ServiceHandlerOptions) {}

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    admitted: AdmittedRequest,
  ): Promise<void> {
    const {serviceName, path} = parseServicePath(request.url ?? '');
    const service = this.findService(serviceName);
    const {gate, maxBodyBytes} = this.options;
    const body = await gate.whileStartable(
      limitOf(service),
      admitted.signal,
      signal => readBody(request, maxBodyBytes, signal),
    );
    const work = composeWork({request, admitted, service, path, body});
    const idempotencyKey = idempotencyKeyOf(request.headers);
    admitted.inFlight.mayBeAborted =
      work.permit.repeatable && idempotencyKey === undefined;
    const run = () => this.run(work, response, admitted);
    if (idempotencyKey === undefined) {
      await run();
      return;
    }
    const {fingerprint} = work.permit;
    await this.options.claims.runOnce(
      {key: idempotencyKey, fingerprint, admitted, response},
      run,
    );
  }

  private async run(
    work: ServiceWork,
    response: ServerResponse,
    admitted: AdmittedRequest,
  ): Promise<void> {
    const answer = await this.options.runner.run(work);
    this.options.usage.add({
      clientAccount: admitted.caller.clientAccount.id,
      requestClass: admitted.caller.requestClass.id,
      requests: 1,
      promptTokens: 0,
      outputTokens: 0,
    });
    sendAnswer(response, answer, admitted);
  }

  private findService(name: string): Service {
    const service = this.options.store.current.services.get(name);
    if (service !== undefined) return service;
    throw new RequestError(`There is no service "${name}".`, {
      code: 'service_not_found',
      verdict: 'not_run',
    });
  }
}

function composeWork(call: {
  readonly request: IncomingMessage;
  readonly admitted: AdmittedRequest;
  readonly service: Service;
  readonly path: string;
  readonly body: Buffer;
}): ServiceWork {
  const {request, admitted, service, path, body} = call;
  const {clientAccount, requestClass} = admitted.caller;
  const method = request.method ?? 'GET';
  const key = apiKeyOf(request);
  if (decodeURIComponent(path).includes(key)) {
    throw new RequestError('The path holds the API key.', {
      code: 'invalid_request',
      verdict: 'not_run',
    });
  }
  const operation = findOperation(service, method, path);
  return {
    requestId: admitted.id,
    method,
    path,
    headers: forwardedRequestHeaders(request.headers, key),
    body,
    timeoutMs: service.timeoutMs,
    requestClass,
    arrivedAtMs: admitted.arrivedAtMs,
    signal: admitted.signal,
    onStart: () => {
      admitted.inFlight.phase = 'running';
    },
    permit: {
      target: {kind: 'service', service: service.id},
      clientAccount,
      requestClass,
      expectedTokens: 1,
      fingerprint: fingerprintOf(clientAccount.id, method, path, body),
      limit: limitOf(service),
      repeatable: operation?.idempotent === true,
    },
  };
}

function limitOf({timeoutMs}: Service): AttemptLimit {
  return {kind: 'timeout', timeoutMs};
}

function apiKeyOf(request: IncomingMessage): string {
  const [, key = ''] = (request.headers.authorization ?? '').split(/ +/);
  return key;
}

function sendAnswer(
  response: ServerResponse,
  answer: ServiceAnswer,
  admitted: AdmittedRequest,
): void {
  if (mayDiscard(response)) return;
  response.writeHead(answer.status, {
    ...answer.headers,
    'x-request-id': admitted.id,
    'content-length': answer.body.length,
  });
  response.end(answer.body);
}
