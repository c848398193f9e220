/** Formats a step for the decision log. */
import type { StepSpec } from './spec.js';

/** Describes a step for the decision log: its size and everything that restricts its placement. */
export function renderStep(step: StepSpec): string {
  const attributes = [
    step.isLasting ? 'lasting' : '',
    step.isFilling ? 'filling' : '',
    step.isGang ? 'gang' : '',
    step.isCheckpointing ? 'checkpoints' : '',
    step.maxPerWorker === undefined ? '' : `spread=${step.maxPerWorker}`,
    step.maxUnavailable === undefined ? '' : `unavailable=${step.maxUnavailable}`,
    step.tailTargetMs === undefined ? '' : `tail=${step.tailTargetMs}`,
    step.requiredLabel === undefined ? '' : `label=${step.requiredLabel}`,
    step.dataRack === undefined ? '' : `rack=${step.dataRack}`,
  ].filter((attribute) => attribute !== '');
  const size = `${step.count}x${step.size.cores}c/${step.size.memoryMb}MB/${step.estimateMs}ms`;
  return [size, ...attributes].join(' ');
}
