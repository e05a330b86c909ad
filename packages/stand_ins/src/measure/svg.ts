/** Draws attainment over time as SVG, with one panel per policy. */

import {meetsAll} from './figures.js';
import type {Outcome} from './load.js';
import type {Scenario} from './scenario.js';

/** The outcomes of one policy's first run. */
export interface Panel {
  readonly title: string;
  readonly outcomes: readonly Outcome[];
}

const PANEL_WIDTH = 420;
const PANEL_HEIGHT = 200;
const MARGIN = 44;
const BIN_MS = 1000;
const COLOURS = ['#1b6ca8', '#c7562c', '#4f8a3c', '#7b4fa3', '#8a6d1f'];

/**
 * Draws the share of requests of each class that met all targets, by the second
 * for which they were scheduled.
 *
 * @example
 * writeFileSync('burst.svg', drawAttainment(scenario, panels));
 */
export function drawAttainment(
  scenario: Scenario,
  panels: readonly Panel[],
): string {
  const width = panels.length * (PANEL_WIDTH + MARGIN) + MARGIN;
  const height = PANEL_HEIGHT + 3 * MARGIN;
  const body = panels.map((panel, at) => {
    const left = MARGIN + at * (PANEL_WIDTH + MARGIN);
    const place = `translate(${left} ${MARGIN})`;
    return `<g transform="${place}">${drawPanel(scenario, panel)}</g>`;
  });
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">
<rect width="100%" height="100%" fill="white"/>
${body.join('\n')}
${drawLegend(scenario, height)}
</svg>
`;
}

function drawPanel(scenario: Scenario, panel: Panel): string {
  const lines = Object.keys(scenario.classes).map((requestClass, at) => {
    const points = pointsOf(scenario, panel.outcomes, requestClass);
    return `<polyline points="${points}" fill="none" stroke="${colourOf(at)}" stroke-width="2"/>`;
  });
  const seconds = scenario.durationMs / BIN_MS;
  return `<text y="-10" font-weight="bold">${panel.title}</text>
<rect width="${PANEL_WIDTH}" height="${PANEL_HEIGHT}" fill="none" stroke="#999"/>
<text x="-6" y="10" text-anchor="end">100%</text>
<text x="-6" y="${PANEL_HEIGHT}" text-anchor="end">0%</text>
<text y="${PANEL_HEIGHT + 16}">0 s</text>
<text x="${PANEL_WIDTH}" y="${PANEL_HEIGHT + 16}" text-anchor="end">${seconds} s</text>
${lines.join('\n')}`;
}

function drawLegend(scenario: Scenario, height: number): string {
  return Object.keys(scenario.classes)
    .map((name, at) => {
      const left = MARGIN + at * 140;
      const top = height - MARGIN / 2;
      return `<rect x="${left}" y="${top - 9}" width="14" height="4" fill="${colourOf(at)}"/><text x="${left + 20}" y="${top}">${name}</text>`;
    })
    .join('\n');
}

function pointsOf(
  scenario: Scenario,
  outcomes: readonly Outcome[],
  requestClass: string,
): string {
  const bins = new Map<number, {all: number; good: number}>();
  for (const outcome of outcomes) {
    const {arrival} = outcome;
    if (arrival.requestClass !== requestClass || arrival.isPoison) continue;
    const bin = Math.floor(arrival.atMs / BIN_MS);
    const counts = bins.get(bin) ?? {all: 0, good: 0};
    counts.all += 1;
    if (meetsAll(scenario, outcome)) counts.good += 1;
    bins.set(bin, counts);
  }
  const binWidth = (PANEL_WIDTH * BIN_MS) / scenario.durationMs;
  return [...bins]
    .sort(([left], [right]) => left - right)
    .map(([bin, {all, good}]) => {
      const x = (bin + 0.5) * binWidth;
      const y = PANEL_HEIGHT * (1 - good / all);
      return `${x.toFixed(1)},${y.toFixed(1)}`;
    })
    .join(' ');
}

function colourOf(at: number): string {
  return COLOURS[at % COLOURS.length];
}
