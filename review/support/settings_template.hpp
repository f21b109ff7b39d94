#ifndef AUBURNWEIR_REVIEW_SETTINGS_TEMPLATE_HPP
#define AUBURNWEIR_REVIEW_SETTINGS_TEMPLATE_HPP

#include <map>
#include <string>

namespace auburnweir::review
{

/// Fills in a settings template in the way of the platform: `{{name}}` is a value,
/// `{{#name}}..{{/name}}` is kept when there is a value, `{{^name}}..{{/name}}` when there is none.
std::string fill_in(std::string text, std::map<std::string, std::string> const& values);

} // namespace auburnweir::review

#endif
