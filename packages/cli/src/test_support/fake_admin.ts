/** Fakes for the tests of the commands. */

import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import type {ExitCode} from '../exit_codes.js';
import type {ConfigurationReader} from '../input/configuration_reader.js';
import {runCommandLine} from '../main.js';
import {Terminal} from '../terminal.js';

/** Reply to a call; `hang_up` closes the connection without an answer. */
export type FakeReply =
  'hang_up' | {readonly status: number; readonly body: unknown};

/** A call that arrived. */
export interface SeenCall {
  readonly call: string;
  readonly authorization: string | undefined;
  readonly body: unknown;
}

/** An administration API with given replies, of which the last is repeated. */
export class FakeAdmin {
  readonly seen: SeenCall[] = [];

  private constructor(
    readonly url: string,
    private readonly server: Server,
  ) {}

  static async start(...replies: FakeReply[]): Promise<FakeAdmin> {
    const server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const fake = new FakeAdmin(`http://127.0.0.1:${port}`, server);
    server.on('request', (request, response) => {
      void fake.record(request).then(() => {
        const reply = replies[Math.min(fake.seen.length, replies.length) - 1];
        if (reply === 'hang_up') return request.socket.destroy();
        response.statusCode = reply.status;
        return response.end(JSON.stringify(reply.body));
      });
    });
    return fake;
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    this.server.close();
    await once(this.server, 'close');
  }

  private async record(request: IncomingMessage): Promise<void> {
    const body = await text(request);
    this.seen.push({
      call: `${request.method} ${request.url}`,
      authorization: request.headers.authorization,
      body: body === '' ? undefined : JSON.parse(body),
    });
  }
}

/** Records what a command writes and its delays, without waiting. */
export class FakeTerminal extends Terminal {
  out = '';
  error = '';
  readonly delaysMs: number[] = [];

  constructor(
    private readonly input: string,
    private readonly variables: Readonly<Record<string, string>>,
  ) {
    super();
  }

  writeOut(written: string): void {
    this.out += written;
  }

  writeError(written: string): void {
    this.error += written;
  }

  async readInput(): Promise<string> {
    return this.input;
  }

  variable(name: string): string | undefined {
    return this.variables[name];
  }

  async sleep(delayMs: number): Promise<void> {
    this.delaysMs.push(delayMs);
  }
}

/** Result of a command line. */
export interface CommandRun {
  readonly exitCode: ExitCode;
  readonly out: string;
  readonly error: string;
  readonly delaysMs: readonly number[];
}

/** Runs a command line with an operator key in the environment. */
export async function runCommand(
  args: readonly string[],
  input = '',
  reader?: ConfigurationReader,
): Promise<CommandRun> {
  const terminal = new FakeTerminal(input, {
    SNIPESTAGE_OPERATOR_KEY: 'the-operator-key',
  });
  const exitCode = await runCommandLine(args, terminal, reader);
  const {out, error, delaysMs} = terminal;
  return {exitCode, out, error, delaysMs};
}
