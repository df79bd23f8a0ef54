import jsdoc from 'eslint-plugin-jsdoc';
import simpleImportSort from 'eslint-plugin-simple-import-sort';
import unicorn from 'eslint-plugin-unicorn';
import tseslint from 'typescript-eslint';

// Decisions must be deterministic: clocks and random numbers are passed in.
const NONDETERMINISTIC_PROPERTIES = [
  {
    object: 'Date',
    property: 'now',
    message: 'Accept `now` as a parameter instead.',
  },
  {
    object: 'Math',
    property: 'random',
    message: 'Accept `random` as a parameter instead.',
  },
  {
    object: 'performance',
    property: 'now',
    message: 'Accept `now` as a parameter instead.',
  },
];

// The terms that comments use instead of words of everyday speech.
const FIELD_TERMS = [
  {word: 'tell|tells|told', term: 'report, state, notify'},
  {word: 'ask|asks|asked', term: 'request, query'},
  {word: 'heard', term: 'received, reported'},
  {word: 'nobody|somebody', term: 'no host, no client, one of them'},
  {word: 'goes[\\s*]+on', term: 'continue, resume'},
  {word: 'comes[\\s*]+back', term: 'return, be restored'},
].map(({word, term}) => ({pattern: new RegExp(`\\b(${word})\\b`, 'gi'), term}));

// Reports a comment at its first line, so that the line before it can hold
// `eslint-disable-next-line house/field-terms -- REASON`.
const fieldTerms = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: {
      word: "Use a term of the field ({{term}}) instead of '{{word}}'.",
      reason: 'State the reason of the exception after ` -- `.',
    },
  },
  create: ({sourceCode, report}) => ({
    Program() {
      for (const {value, loc} of sourceCode.getAllComments()) {
        if (/^\s*eslint-disable/.test(value)) {
          if (value.includes('house/field-terms') && !/ -- \S/.test(value)) {
            report({loc, messageId: 'reason'});
          }
          continue;
        }
        for (const {pattern, term} of FIELD_TERMS) {
          for (const [word] of value.matchAll(pattern)) {
            const data = {word: word.replace(/[\s*]+/g, ' '), term};
            report({loc, messageId: 'word', data});
          }
        }
      }
    },
  }),
};

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      'target/**',
      'journal/**',
      'node_modules/**',
      'scripts/**',
      'eslint.config.js',
    ],
  },
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        project: './tsconfig.json',
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: {jsdoc, unicorn, 'simple-import-sort': simpleImportSort},
    rules: {
      curly: ['error', 'all'],
      eqeqeq: ['error', 'always'],
      'max-lines': ['error', {max: 420, skipComments: true}],
      'simple-import-sort/imports': 'error',
      'simple-import-sort/exports': 'error',
      'unicorn/filename-case': ['error', {case: 'snakeCase'}],
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: {
            ClassDeclaration: true,
            FunctionDeclaration: true,
            MethodDefinition: false,
          },
          contexts: [
            'ExportNamedDeclaration > TSInterfaceDeclaration',
            'ExportNamedDeclaration > TSTypeAliasDeclaration',
            'ExportNamedDeclaration > VariableDeclaration',
          ],
        },
      ],
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        {considerDefaultExhaustiveForUnions: false},
      ],
      '@typescript-eslint/prefer-readonly': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        {allowNumber: true, allowBoolean: true},
      ],
      '@typescript-eslint/no-confusing-void-expression': [
        'error',
        {ignoreArrowShorthand: true},
      ],
      '@typescript-eslint/consistent-type-definitions': 'off',
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: 'variable',
          modifiers: ['const', 'global'],
          format: ['camelCase', 'UPPER_CASE'],
        },
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'function', format: ['camelCase']},
      ],
    },
  },
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    plugins: {house: {rules: {'field-terms': fieldTerms}}},
    rules: {'house/field-terms': 'error'},
  },
  {
    files: ['packages/*/tests/**', 'platform/tests/**'],
    rules: {
      'max-lines': 'off',
      '@typescript-eslint/no-non-null-assertion': 'off',
    },
  },
  {
    files: ['packages/decisions/src/**'],
    rules: {
      'no-restricted-properties': ['error', ...NONDETERMINISTIC_PROPERTIES],
      'no-restricted-globals': [
        'error',
        'setTimeout',
        'setInterval',
        'setImmediate',
        'queueMicrotask',
        'fetch',
        'process',
      ],
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              regex:
                '^(node:)?(net|http|https|http2|dgram|fs|timers|os|process|worker_threads|child_process)(/.*)?$',
              message: 'Code in packages/decisions must not perform I/O.',
            },
          ],
        },
      ],
    },
  },
);
