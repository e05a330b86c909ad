import {createRequire} from 'node:module';

const gts = createRequire(import.meta.url)('gts');

export default [
  {
    ignores: [
      '**/dist/',
      'target/',
      'journal/',
      '**/node_modules/',
      '**/generated/',
    ],
  },
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {project: false, projectService: true},
    },
    rules: {
      '@typescript-eslint/no-misused-promises': 'error',
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use a named export.',
        },
        {
          selector: 'PropertyDefinition > PrivateIdentifier',
          message: 'Use the private keyword.',
        },
      ],
    },
  },
  {
    files: ['**/*.js'],
    languageOptions: {
      ecmaVersion: 2022,
      sourceType: 'module',
      globals: {console: 'readonly', process: 'readonly'},
    },
  },
];
