/**
 * The shared retry budgets of all services, one budget a service.
 */
import {
  type RetryBudgetBounds,
  SharedRetryBudget,
} from './shared_retry_budget.js';

/** Budgets by service. */
export class ServiceRetryBudgets {
  private readonly budgets = new Map<string, SharedRetryBudget>();

  constructor(private readonly bounds: RetryBudgetBounds) {}

  /** The budget of `service`. */
  of(service: string): SharedRetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) {
      return known;
    }
    const fresh = new SharedRetryBudget(this.bounds);
    this.budgets.set(service, fresh);
    return fresh;
  }
}
