/**
 * The shared retry budgets of all services.
 */
import {
  type RetryBudgetBounds,
  type RetryBudgetStart,
  SharedRetryBudget,
} from './shared_retry_budget.js';

/** The retry budgets of this host by service, created on first use. */
export class ServiceRetryBudgets {
  private readonly budgets = new Map<string, SharedRetryBudget>();

  constructor(
    private readonly bounds: RetryBudgetBounds,
    private readonly start: RetryBudgetStart,
  ) {}

  /** Returns the budget of `service`. */
  of(service: string): SharedRetryBudget {
    const existing = this.budgets.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const created = new SharedRetryBudget(this.bounds, this.start);
    this.budgets.set(service, created);
    return created;
  }
}
