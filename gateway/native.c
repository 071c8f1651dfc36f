/* Chalkway's own dialect and source. The source is any HTTP server that serves the documents of chalkway_catalog.h and
   chalkway_servers.h, for example the share address of another gateway. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dialect.h"

const dialect_t dialect_native = {.name = "native",
                                  .fields = {.request_id = "Chalkway-Request-Id",
                                             .deadline_ms = "Chalkway-Deadline-Ms",
                                             .key = "Authorization",
                                             .key_scheme = "Bearer",
                                             .workspace = "Chalkway-Workspace",
                                             .server = "Chalkway-Server",
                                             .server_id = "Chalkway-Server-Id",
                                             .not_run = "Chalkway-Not-Run",
                                             .signature = NULL,
                                             .priority = "Chalkway-Priority",
                                             .last_event = "Last-Event-Id",
                                             .resumes = "Chalkway-Resumes",
                                             .retry_after = "Retry-After",
                                             .leaving = "Chalkway-Server-Leaving",
                                             .limit = "Chalkway-Server-Limit",
                                             .reject_limit = "Chalkway-Server-Reject-Limit",
                                             .tokens = "Chalkway-Tokens",
                                             .parts = "Chalkway-Prompt-Parts",
                                             .fetch_from = "Chalkway-Fetch-From"},
                                  .misdirected_status = 421,
                                  .priority_max = 9,
                                  .ready_path = "/readyz",
                                  .lookup_path = "/v1/lookup",
                                  .lookup_hall = "hall",
                                  .lookup_hosts = "hosts",
                                  .lookup_max_age = "keep_s"};

static void catalog_path(char* out, size_t size, int64_t version) {
    snprintf(out, size, "/catalog?after=%lld", (long long)version);
}

static void servers_path(char* out, size_t size, const char* after) {
    (void)after;
    snprintf(out, size, "/servers");
}

/* An empty body means that there is no newer configuration. */
static cw_status_t read_catalog(const char* body, size_t size, int64_t version, source_update_t* update,
                                cw_error_t* err) {
    json_error_t parse_error;
    update->version = version;
    if (!size) {
        return CW_OK;
    }
    json_t* document = json_loadb(body, size, 0, &parse_error);
    if (!json_is_object(document)) {
        cw_fail(err, CW_ERR_INVALID, "catalog", NULL, "not a JSON object: %s",
                document ? "another type" : parse_error.text);
        json_decref(document);
        return CW_ERR_INVALID;
    }
    update->version = json_integer_value(json_object_get(document, "revision"));
    json_decref(document);
    update->catalog = strndup(body, size);
    return CW_OK;
}

static cw_status_t read_servers(const char* body, size_t size, cw_servers_t* list, source_update_t* update,
                                cw_error_t* err) {
    (void)update;
    return cw_servers_from_json(list, body, size, err);
}

static bool history_path(char* out, size_t size, int64_t after) {
    snprintf(out, size, "/servers/history");
    return !after;
}

/* A list of all entries that servers have had, with "complete": true if none is missing. */
static cw_status_t read_history(const char* body, size_t size, source_history_t* history, cw_error_t* err) {
    *history = (source_history_t){.at = 0};
    cw_status_t status = cw_servers_from_json(&history->entries, body, size, err);
    static const char* const name = "complete";
    cw_json_text_t complete;
    history->at = history->entries.at;
    history->has_unnamed = true; /* it doesn't say which entries are missing */
    history->is_complete = status == CW_OK && cw_json_members((cw_json_text_t){body, size}, &name, &complete, 1) &&
                           complete.size == strlen("true") && memcmp(complete.text, "true", complete.size) == 0;
    return status;
}

const source_t source_native = {.epoch_field = "Chalkway-Source-Life",
                                .catalog_path = catalog_path,
                                .servers_path = servers_path,
                                .read_catalog = read_catalog,
                                .read_servers = read_servers,
                                .history_path = history_path,
                                .read_history = read_history};
