/** Lint rules: Airbnb for TypeScript, the checkable parts of the house style, import directions. */
import { configs, extensions, plugins } from 'eslint-config-airbnb-extended';
import functional from 'eslint-plugin-functional';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';
import houseRules from './lint/house-rules.mjs';

const DOCUMENTED_ITEMS = {
  FunctionDeclaration: true,
  ArrowFunctionExpression: false,
  ClassDeclaration: true,
};

/** Forbids imports of `cluster` and of packages further from the core than the importing files. */
function restrictImports(files, patterns) {
  return {
    files,
    rules: {
      'no-restricted-imports': ['error', { patterns: [...patterns, 'cluster', 'node:cluster'] }],
    },
  };
}

export default tseslint.config(
  { ignores: ['**/dist/**', 'target/**', 'journal/**', 'node_modules/**', 'reports/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...extensions.base.typescript,
  ...configs.base.typescript,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    plugins: { functional, jsdoc, house: houseRules },
    rules: {
      'functional/no-classes': 'error',
      'functional/prefer-property-signatures': 'off',
      'functional/readonly-type': ['error', 'keyword'],
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, variables: false }],
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: DOCUMENTED_ITEMS,
          contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration'],
        },
      ],
      'house/verb-names': 'error',
      'house/module-prose': 'error',
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'error',
      'import-x/extensions': 'off',
      'import-x/no-rename-default': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-cycle': 'error',
      'no-restricted-syntax': 'off',
      'no-continue': 'off',
      'no-await-in-loop': 'off',
      '@typescript-eslint/no-loop-func': 'off',
      'no-void': 'off',
      'max-lines': ['error', { max: 300, skipBlankLines: true }],
    },
  },
  {
    files: ['packages/*/src/test/**/*.ts', 'platform/src/test/**/*.ts'],
    rules: { 'jsdoc/require-jsdoc': 'off', 'max-lines': 'off' },
  },
  restrictImports(
    ['packages/vanilladock/src/lib/**/*.ts'],
    [
      '@vanilladock/*',
      'node:http',
      'node:net',
      'node:dgram',
      'node:child_process',
      'node:fs',
      '**/test/**',
    ],
  ),
  restrictImports(
    ['packages/stand-ins/src/lib/**/*.ts'],
    [
      '@vanilladock/daemon',
      '@vanilladock/daemon/*',
      '@vanilladock/measure',
      'node:child_process',
      '**/test/**',
    ],
  ),
  restrictImports(
    ['packages/daemon/src/lib/**/*.ts'],
    [
      '@vanilladock/platform',
      '@vanilladock/platform/*',
      '@vanilladock/measure',
      '@vanilladock/measure/*',
      'node:child_process',
      '**/test/**',
    ],
  ),
);
