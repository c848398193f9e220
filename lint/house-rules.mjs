/**
 * ESLint rules that no published plugin provides: function names must begin with a verb from a
 * fixed list, and each module must begin with a doc comment.
 */
import { VERBS } from './verbs.mjs';

const FIRST_WORD = /^[a-z]+/;

/** Says whether the first word of a camel-case name is one of the listed verbs. */
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
    const checkName = (node, name) => {
      if (name !== undefined && !startsWithVerb(name)) {
        context.report({ node, messageId: 'verb', data: { name } });
      }
    };
    return {
      FunctionDeclaration(node) {
        checkName(node, node.id?.name);
      },
      VariableDeclarator(node) {
        const isFunction = ['ArrowFunctionExpression', 'FunctionExpression'].includes(
          node.init?.type,
        );
        if (isFunction && node.id.type === 'Identifier') checkName(node, node.id.name);
      },
    };
  },
};

const moduleProse = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { prose: 'Begin the module with a /** … */ comment that states its purpose.' },
  },
  create(context) {
    return {
      Program(node) {
        const firstComment = context.sourceCode.getAllComments()[0];
        const isDocComment = firstComment?.type === 'Block' && firstComment.value.startsWith('*');
        const codeStart = node.body[0]?.range[0] ?? Infinity;
        if (!isDocComment || firstComment.range[0] > codeStart)
          context.report({ node, messageId: 'prose' });
      },
    };
  },
};

export default { rules: { 'verb-names': verbNames, 'module-prose': moduleProse } };
