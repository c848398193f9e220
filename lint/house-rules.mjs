/**
 * ESLint rules of this project that no published plugin gives: function names that begin with a
 * verb from a fixed list, and prose at the head of each module.
 */
import { VERBS } from './verbs.mjs';

const FIRST_WORD = /^[a-z]+/;

/** Says whether a name begins with one of the listed verbs. */
function startsWithVerb(name) {
  const word = FIRST_WORD.exec(name)?.[0];
  return word !== undefined && VERBS.includes(word);
}

const verbNames = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { verb: "Begin the function name '{{name}}' with a verb listed in docs/STYLE.md." },
  },
  create(context) {
    const check = (node, name) => {
      if (name !== undefined && !startsWithVerb(name)) {
        context.report({ node, messageId: 'verb', data: { name } });
      }
    };
    return {
      FunctionDeclaration(node) {
        check(node, node.id?.name);
      },
      VariableDeclarator(node) {
        const isFunction = ['ArrowFunctionExpression', 'FunctionExpression'].includes(
          node.init?.type,
        );
        if (isFunction && node.id.type === 'Identifier') check(node, node.id.name);
      },
    };
  },
};

const moduleProse = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { prose: 'Begin the module with a /** … */ comment that says what it is for.' },
  },
  create(context) {
    return {
      Program(node) {
        const first = context.sourceCode.getAllComments()[0];
        const isHead = first?.type === 'Block' && first.value.startsWith('*');
        const start = node.body[0]?.range[0] ?? Infinity;
        if (!isHead || first.range[0] > start) context.report({ node, messageId: 'prose' });
      },
    };
  },
};

export default { rules: { 'verb-names': verbNames, 'module-prose': moduleProse } };
