/**
 * What the tasks of an entry process take from the process.
 */
import type {RoutingConfiguration} from '@lacewingwinch/decisions';
import type {PlatformSettings} from '@lacewingwinch/platform';

/** What the tasks need to know of the process that runs them. */
export interface RoutedTasksDependencies {
  /** Returns the settings in force. */
  readonly settings: () => PlatformSettings;
  /** Returns whether this process accepts no new requests any more. */
  readonly isClosing: () => boolean;
  readonly onConfigurationChange: (configuration: RoutingConfiguration) => void;
}
