/** A caller's connection that a test opens and writes to directly. */

import {connect, type Socket} from 'node:net';
import {SHOP_KEY, waitUntil} from './test_world.js';

/** A raw TCP connection to the callers' listener. */
export class CallerConnection {
  private text = '';
  private isClosed = false;

  private constructor(readonly socket: Socket) {
    socket.setEncoding('latin1');
    socket.on('data', data => (this.text += String(data)));
    socket.on('close', () => (this.isClosed = true));
    // A reset shows as a closed connection; tests distinguish it by the answer.
    socket.on('error', () => {});
  }

  /**
   * Opens a connection without sending anything.
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

  /** Everything received so far. */
  get received(): string {
    return this.text;
  }

  /** Status of the first answer; 0 until its status line has arrived. */
  get status(): number {
    return Number(/^HTTP\/1\.1 (\d+)/.exec(this.text)?.[1] ?? 0);
  }

  get hasClosed(): boolean {
    return this.isClosed;
  }

  /** Sends the head of a request and the given part of its body. */
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

  /** Requests a streamed answer of the given number of tokens. */
  sendChat(tokens: number): void {
    this.send('POST /v1/chat/completions', {body: chatBody(tokens)});
  }

  /** Waits for a text; throws if the connection closes before it arrives. */
  async waitFor(text: string): Promise<void> {
    await waitUntil(() => this.text.includes(text) || this.isClosed);
    if (this.text.includes(text)) return;
    throw new Error(`connection closed before "${text}" arrived: ${this.text}`);
  }
}

/**
 * Returns the body of a streamed chat request.
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
