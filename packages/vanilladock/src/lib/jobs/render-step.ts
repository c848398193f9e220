/** Renders a step for the log. */
import type { StepSpec } from './spec.js';

/** Describes a step for the log: its shape and whatever restricts its placement. */
export function renderStep(step: StepSpec): string {
  const marks = [
    step.isLasting ? 'lasting' : '',
    step.isFilling ? 'filling' : '',
    step.isGang ? 'gang' : '',
    step.isCheckpointing ? 'checkpoints' : '',
    step.maxPerWorker === undefined ? '' : `spread=${step.maxPerWorker}`,
    step.maxUnavailable === undefined ? '' : `away=${step.maxUnavailable}`,
    step.tailTargetMs === undefined ? '' : `tail=${step.tailTargetMs}`,
    step.requiredLabel === undefined ? '' : `label=${step.requiredLabel}`,
    step.dataRack === undefined ? '' : `rack=${step.dataRack}`,
  ].filter((mark) => mark !== '');
  const size = `${step.count}x${step.size.cores}c/${step.size.memoryMb}MB/${step.estimateMs}ms`;
  return [size, ...marks].join(' ');
}
