#!/usr/bin/env node
import {runCommandLine} from '../dist/main.js';

process.exitCode = await runCommandLine(process.argv.slice(2));
