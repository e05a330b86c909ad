/** One caller's connection, held open by a test from its own side. */

import {connect, type Socket} from 'node:net';
import {SHOP_KEY, waitUntil} from './test_world.js';

/** A connection on which a test sends bytes when it sees fit. */
export class CallerConnection {
  private text = '';
  private isClosed = false;

  private constructor(readonly socket: Socket) {
    socket.setEncoding('latin1');
    socket.on('data', data => (this.text += String(data)));
    socket.on('close', () => (this.isClosed = true));
    // A reset shows as a closed connection; the tests tell them by the answer.
    socket.on('error', () => {});
  }

  /**
   * Opens a connection and sends nothing.
   *
   * @example
   * const connection = await CallerConnection.open(entry.callersUrl);
   */
  static async open(url: string): Promise<CallerConnection> {
    const {hostname, port} = new URL(url);
    const socket = connect(Number(port), hostname);
    await new Promise((resolve, reject) => {
      socket.once('connect', resolve);
      socket.once('error', reject);
    });
    return new CallerConnection(socket);
  }

  /** All that has come from the other end. */
  get received(): string {
    return this.text;
  }

  /** Status of the first answer; 0 until its head has come. */
  get status(): number {
    return Number(/^HTTP\/1\.1 (\d+)/.exec(this.text)?.[1] ?? 0);
  }

  get hasClosed(): boolean {
    return this.isClosed;
  }

  /** Sends the head of a request and as much of its body as is given. */
  send(
    line: string,
    options: {readonly body?: string; readonly contentLength?: number} = {},
  ): void {
    const {body = ''} = options;
    const {contentLength = Buffer.byteLength(body)} = options;
    this.socket.write(
      [
        `${line} HTTP/1.1`,
        'host: snipestage',
        `authorization: Bearer ${SHOP_KEY}`,
        'content-type: application/json',
        `content-length: ${contentLength}`,
        '',
        body,
      ].join('\r\n'),
    );
  }

  /** Asks for a streamed answer of so many tokens. */
  sendChat(tokens: number): void {
    this.send('POST /v1/chat/completions', {body: chatBody(tokens)});
  }

  /** Resolves when the text has come; fails when the connection ends before. */
  async waitFor(text: string): Promise<void> {
    await waitUntil(() => this.text.includes(text) || this.isClosed);
    if (this.text.includes(text)) return;
    throw new Error(`closed without "${text}": ${this.text}`);
  }
}

/**
 * The body of a streamed chat.
 *
 * @example
 * connection.send('POST /v1/chat/completions', {body: chatBody(4)});
 */
export function chatBody(tokens: number): string {
  return JSON.stringify({
    model: 'repair',
    stream: true,
    max_tokens: tokens,
    messages: [{role: 'user', content: `${tokens} tokens, please`}],
  });
}
