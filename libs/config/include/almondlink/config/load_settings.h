#ifndef ALMONDLINK_CONFIG_LOAD_SETTINGS_H_
#define ALMONDLINK_CONFIG_LOAD_SETTINGS_H_

#include <string>

#include "almondlink/base/error.h"
#include "almondlink/config/settings.generated.h"

namespace almondlink::config {

/// Parses and validates the settings of a node against the schema. `name` is
/// the file name for messages. Opens nothing. Errors: kBadSettings with one
/// line that names file, line, section, key and what is allowed. Thread safe.
Result<Settings> ParseSettings(const std::string& name,
                               const std::string& text);

/// ParseSettings of a file. Errors: as above, and kIo.
Result<Settings> LoadSettings(const std::string& path);

}  // namespace almondlink::config

#endif  // ALMONDLINK_CONFIG_LOAD_SETTINGS_H_
