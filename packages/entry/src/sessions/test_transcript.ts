/** Writes a session as text that is the same in every run. */

import type {Answer} from './test_world.js';

const RANDOM_ID =
  /[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/g;
const CREATED_AT = /"created":\d{6,}/g;
const KEPT_HEADERS = [
  'content-type',
  'retry-after',
  'idempotency-replayed',
] as const;

/** Collects answers; replaces random ids by numbers in order of appearance. */
export class SessionTranscript {
  private readonly parts: string[] = [];
  private readonly ids = new Map<string, string>();

  note(title: string, answer: Answer): void {
    const headers = KEPT_HEADERS.filter(
      name => answer.headers[name] !== undefined,
    ).map(name => `${name}: ${String(answer.headers[name])}`);
    const lines = [`status ${answer.status}`, ...headers, '', answer.body];
    this.noteText(title, lines.join('\n'));
  }

  noteText(title: string, text: string): void {
    this.parts.push(`## ${title}\n\n${this.normalize(text).trim()}\n`);
  }

  read(): string {
    return this.parts.join('\n');
  }

  private normalize(text: string): string {
    return text
      .replace(RANDOM_ID, id => this.nameOf(id))
      .replace(CREATED_AT, '"created":0');
  }

  private nameOf(id: string): string {
    const known = this.ids.get(id);
    if (known !== undefined) return known;
    const name = `<id ${this.ids.size + 1}>`;
    this.ids.set(id, name);
    return name;
  }
}
