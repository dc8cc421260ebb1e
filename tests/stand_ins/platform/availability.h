#pragma once

namespace wisterialane::stand_ins {

enum class availability { available, away };

} // namespace wisterialane::stand_ins
