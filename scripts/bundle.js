/** Bundles the program for the users' platform into one file under target/. */
import {build} from 'esbuild';

await build({
  entryPoints: ['platform/dist/main.js'],
  outfile: 'target/snipestage.cjs',
  bundle: true,
  minify: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  logLevel: 'warning',
});
