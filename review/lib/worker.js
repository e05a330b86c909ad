/** A worker as the pages describe it, and one caller's request. */

import {createHash} from 'node:crypto';
import {createServer, request as httpRequest} from 'node:http';
import {setTimeout} from 'node:timers';
import {Buffer} from 'node:buffer';
import {
  removeEndpoint,
  writeEndpoint,
} from '../../platform/stand_ins/dist/operator_rows.js';
import {HOST, KEY} from './world.js';

export const HEALTH_PATH = '/healthz';

/** Answers with what `behave` does; a sound answer otherwise. */
export class Worker {
  runs = [];
  running = 0;

  constructor(world, options) {
    this.world = world;
    this.options = {capacity: 16, zone: 'akl-a', isEngine: false, ...options};
    this.bornEpochMs = Date.now();
    this.server = createServer((request, response) => {
      request.on('error', () => response.destroy());
      void this.serve(request, response);
    });
    this.server.keepAliveTimeout = 0;
    world.onClose(() => this.stop());
  }

  async start(port = 0) {
    await new Promise((done, fail) => {
      this.server.once('error', fail);
      this.server.listen(port, this.world.platformHost, done);
    });
    this.port = this.server.address().port;
    return this.port;
  }

  get address() {
    return `${this.world.platformHost}:${this.options.port ?? this.port}`;
  }

  /** Writes its entry as a worker does. */
  list(state = 'ready') {
    const {id, service, zone, capacity} = this.options;
    writeEndpoint(this.world.store, {
      id,
      service,
      address: this.address,
      dataCentre: zone,
      softwareVersion: 'v1',
      capacity,
      isLeaving: state === 'draining',
      isCheap: false,
      bornEpochMs: this.bornEpochMs,
    });
  }

  unlist() {
    removeEndpoint(this.world.store, this.options.id);
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  async serve(request, response) {
    const {id, isEngine, capacity, behave} = this.options;
    if (request.url === HEALTH_PATH) {
      response.writeHead(200, {
        'X-Instance-Id': id,
        'X-Instance-Load': `${this.running},0,${capacity}`,
      });
      response.end();
      return;
    }
    if (request.url === '/v1/report' && isEngine) {
      response.writeHead(200, {'Content-Type': 'application/json'});
      response.end(JSON.stringify({phase: 'unified', born: this.bornEpochMs}));
      return;
    }
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks);
    const {headers} = request;
    const isOwn = headers['x-expected-instance'] === id;
    const run = {
      requestId: headers['x-attempt-id'],
      worker: id,
      atMs: this.world.nowMs(),
      headers,
      path: request.url,
      bodyDigest: digest(body),
      hasRun: isOwn,
      signature: `${id}.${this.runs.length}`,
    };
    this.runs.push(run);
    if (!isOwn) {
      response.writeHead(421, {'X-Instance-Id': id});
      response.end();
      return;
    }
    this.running += 1;
    response.once('close', () => (this.running -= 1));
    if (behave?.(run, request, response, this) === true) return;
    await wait(20);
    if (isEngine) await this.stream(run, response);
    else this.answer(run, response);
  }

  headersOf(run) {
    const {capacity} = this.options;
    return {
      'X-Attempt-Id': run.requestId,
      'X-Response-Signature': run.signature,
      'X-Instance-Load': `${this.running},0,${capacity}`,
    };
  }

  answer(run, response, text = `${run.requestId} is done`) {
    run.answer = text;
    const length = {'Content-Length': String(Buffer.byteLength(text))};
    response.writeHead(200, {...this.headersOf(run), ...length});
    response.end(text);
  }

  async stream(run, response, {events = 8, everyMs = 15} = {}) {
    // Without chunks the answer ends with its channel.
    response.useChunkedEncodingByDefault = !this.options.isUnframed;
    response.writeHead(200, {
      ...this.headersOf(run),
      'Content-Type': 'text/event-stream',
    });
    const first = Number(run.headers['last-event-id'] ?? 0) + 1;
    for (let number = first; number <= events; number += 1) {
      if (response.destroyed) return;
      response.write(`id: ${number}\ndata: ${run.requestId} ${number}\n\n`);
      await wait(everyMs);
    }
    response.end();
    run.isWhole = true;
  }
}

export function digest(bytes) {
  return createHash('sha256').update(bytes).digest('hex').slice(0, 16);
}

function wait(ms) {
  return new Promise(done => setTimeout(done, ms));
}

/** Sends one request on a new channel; resolves with what the client sees. */
export function send(
  {host, port},
  {path, id, method = 'POST', body, deadlineMs = 6000, headers = {}, agent},
) {
  return new Promise(resolve => {
    const result = {id, status: 0, body: '', isComplete: false};
    const call = httpRequest({
      host,
      port,
      path,
      method,
      agent: agent ?? false,
      headers: {
        Host: HOST,
        'X-Attempt-Id': id,
        'X-Deadline-Ms': String(deadlineMs),
        Authorization: `Bearer ${KEY}`,
        ...(body === undefined
          ? {}
          : {'Content-Length': String(Buffer.byteLength(body))}),
        ...headers,
      },
    });
    call.setTimeout(deadlineMs + 500, () => call.destroy(new Error('timeout')));
    call.on('response', response => {
      result.status = response.statusCode;
      result.headers = response.headers;
      response.setEncoding('utf8');
      response.on('data', text => (result.body += text));
      response.on('error', () => undefined);
      response.on('close', () => {
        result.isComplete = response.complete;
        resolve(result);
      });
    });
    call.on('error', error => {
      result.error = error.message;
      resolve(result);
    });
    call.end(body);
  });
}

/** Headers of a request to a model engine. */
export function promptHeaders(number) {
  const part = number.toString(16).padStart(8, '0');
  return {
    'X-Model': 'm',
    'X-Token-Usage': '400,40',
    'X-Prompt-Prefix': `5c1e07a2:300,${part}:100`,
  };
}
