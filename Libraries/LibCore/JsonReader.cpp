#include <LibCore/JsonReader.h>

#include <vector>

namespace Core {

namespace {

    using Json = nlohmann::json;

    /// Builds the document from the parser's events. An event that returns false ends the parsing.
    class Builder final : public nlohmann::json_sax<Json> {
    public:
        explicit Builder(JsonLimits const& limits)
            : limits_(limits)
        {
        }

        Json takeRoot() { return std::move(root_); }
        std::string const& reason() const { return reason_; }

        bool null() override { return add(nullptr); }
        bool boolean(bool value) override { return add(value); }
        bool number_integer(number_integer_t value) override { return add(value); }
        bool number_unsigned(number_unsigned_t value) override { return add(value); }
        bool number_float(number_float_t value, string_t const&) override { return add(value); }
        bool string(string_t& value) override { return add(std::move(value)); }
        bool binary(binary_t& value) override { return add(std::move(value)); }
        bool start_object(std::size_t) override { return open(Json::object()); }
        bool start_array(std::size_t) override { return open(Json::array()); }
        bool key(string_t& name) override
        {
            key_ = std::move(name);
            return true;
        }
        bool end_object() override { return close(); }
        bool end_array() override { return close(); }
        bool parse_error(std::size_t position, std::string const&, nlohmann::json::exception const&) override
        {
            reason_ = "malformed at byte " + std::to_string(position);
            return false;
        }

    private:
        Json* insert(Json value)
        {
            if (++values_ > limits_.maxValues) {
                reason_ = "more than " + std::to_string(limits_.maxValues) + " values";
                return nullptr;
            }
            if (open_.empty()) {
                root_ = std::move(value);
                return &root_;
            }
            auto& parent = *open_.back();
            if (parent.is_array()) {
                parent.push_back(std::move(value));
                return &parent.back();
            }
            auto& slot = parent[key_];
            slot = std::move(value);
            return &slot;
        }

        bool add(Json value) { return insert(std::move(value)) != nullptr; }

        bool open(Json container)
        {
            if (open_.size() >= limits_.maxDepth) {
                reason_ = "nested deeper than " + std::to_string(limits_.maxDepth) + " levels";
                return false;
            }
            auto* const inserted = insert(std::move(container));
            if (inserted)
                open_.push_back(inserted);
            return inserted != nullptr;
        }

        bool close()
        {
            open_.pop_back();
            return true;
        }

        JsonLimits limits_;
        std::string reason_;
        Json root_;
        /// The lists and objects that are not complete, the innermost last. A parent does not grow while a child is
        /// open, so the pointers stay valid.
        std::vector<Json*> open_;
        std::string key_;
        std::size_t values_ { 0 };
    };

} // namespace

Result<Json, JsonError> readJson(std::string_view bytes, JsonFormat format, JsonLimits const& limits)
{
    Builder builder(limits);
    auto const input = format == JsonFormat::Text ? Json::input_format_t::json : Json::input_format_t::cbor;
    if (!Json::sax_parse(bytes.begin(), bytes.end(), &builder, input))
        return JsonError { builder.reason() };
    return builder.takeRoot();
}

} // namespace Core
