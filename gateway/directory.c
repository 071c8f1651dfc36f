#include "directory.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "../chalkway_hist.h"
#include "../io/httpd.h"
#include "../io/message.h"

#define ADDRESSES_MAX 64
#define KINDS_MAX 64 /* routes, and workspaces, that are counted on their own */
#define OUTCOMES_MAX 8
#define IDLE_S 30
#define MS_PER_S 1000.0

typedef struct kind_t {
    char name[CW_NAME_MAX];
    uint64_t outcomes[OUTCOMES_MAX];
    cw_hist_t first_ms, took_ms;
} kind_t;

/* Routes or workspaces; the last place is "other". */
typedef struct kinds_t {
    uint32_t count;
    kind_t* items;
} kinds_t;

struct directory_t {
    directory_desc_t desc;
    cw_httpd_t* ready;
    cw_httpd_t* lookup;
    cw_httpd_t* metrics;
    kinds_t routes, workspaces;
};

/* -- counting ------------------------------------------------------------- */

static kind_t* kind_get(kinds_t* kinds, const char* name) {
    for (uint32_t i = 0; i < kinds->count; i++) {
        if (strcmp(kinds->items[i].name, name) == 0) {
            return &kinds->items[i];
        }
    }
    if (kinds->count == KINDS_MAX) {
        return &kinds->items[KINDS_MAX - 1];
    }
    kind_t* grown = realloc(kinds->items, (kinds->count + 1) * sizeof(*grown));
    if (!grown) {
        abort();
    }
    kinds->items = grown;
    kind_t* kind = &kinds->items[kinds->count++];
    memset(kind, 0, sizeof(*kind));
    cw_copy(kind->name, sizeof(kind->name), kinds->count == KINDS_MAX ? "other" : name);
    return kind;
}

static void kind_add(kind_t* kind, uint32_t outcome, uint32_t first_ms, uint32_t took_ms) {
    kind->outcomes[outcome < OUTCOMES_MAX ? outcome : OUTCOMES_MAX - 1]++;
    if (first_ms) {
        cw_hist_add(&kind->first_ms, first_ms);
    }
    cw_hist_add(&kind->took_ms, took_ms);
}

void directory_count(directory_t* d, const char* route, const char* workspace, uint32_t outcome, uint32_t first_ms,
                     uint32_t took_ms) {
    kind_add(kind_get(&d->routes, route), outcome, first_ms, took_ms);
    kind_add(kind_get(&d->workspaces, workspace), outcome, first_ms, took_ms);
}

static void write_hist(cw_buffer_t* out, const char* metric, const char* label, const char* name,
                       const cw_hist_t* hist) {
    uint64_t sum = 0;
    for (uint32_t i = 0; i < CW_HIST_BUCKETS; i++) {
        if (!hist->buckets[i]) {
            continue;
        }
        sum += hist->buckets[i];
        cw_message_add_text(out, "chalkway_%s_bucket{%s=\"%s\",le=\"%u\"} %llu\n", metric, label, name,
                            cw_hist_bound(i), (unsigned long long)sum);
    }
    cw_message_add_text(out, "chalkway_%s_bucket{%s=\"%s\",le=\"+Inf\"} %llu\n", metric, label, name,
                        (unsigned long long)hist->count);
    cw_message_add_text(out, "chalkway_%s_sum{%s=\"%s\"} %llu\nchalkway_%s_count{%s=\"%s\"} %llu\n", metric, label,
                        name, (unsigned long long)hist->sum, metric, label, name, (unsigned long long)hist->count);
}

static void write_kinds(cw_buffer_t* out, const char* label, const kinds_t* kinds) {
    static const char* const outcomes[] = {"served", "denied", "refused", "failed", "gone"};
    for (uint32_t i = 0; i < kinds->count; i++) {
        const kind_t* kind = &kinds->items[i];
        for (uint32_t o = 0; o < sizeof(outcomes) / sizeof(outcomes[0]); o++) {
            cw_message_add_text(out, "chalkway_requests_total{%s=\"%s\",outcome=\"%s\"} %llu\n", label, kind->name,
                                outcomes[o], (unsigned long long)kind->outcomes[o]);
        }
        write_hist(out, "first_byte_ms", label, kind->name, &kind->first_ms);
        write_hist(out, "request_ms", label, kind->name, &kind->took_ms);
    }
}

/* -- answers -------------------------------------------------------------- */

static void on_ready(cw_exchange_t* x, void* user) {
    directory_t* d = user;
    bool known = strcmp(cw_exchange_path(x), d->desc.dialect->ready_path) == 0;
    unsigned status = !known ? 404 : d->desc.is_ready(d->desc.user_data) ? 200 : 503;
    cw_exchange_reply(x, status, NULL, 0, "", 0);
}

/* Body of a lookup answer in the dialect's spelling, to be freed by free(). */
static char* lookup_body(const dialect_t* dialect, const char* const* addresses, uint32_t count, uint32_t keep_ms) {
    json_t* list = json_array();
    for (uint32_t i = 0; i < count; i++) {
        json_array_append_new(list, json_string(addresses[i]));
    }
    json_t* body = json_pack("{s:o,s:f}", dialect->lookup_hosts, list, dialect->lookup_keep, keep_ms / MS_PER_S);
    char* text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

static void on_lookup(cw_exchange_t* x, void* user) {
    directory_t* d = user;
    static const cw_header_t json = {"Content-Type", "application/json"};
    const char* addresses[ADDRESSES_MAX];
    if (strcmp(cw_exchange_path(x), d->desc.dialect->lookup_path) != 0) {
        cw_exchange_reply(x, 404, NULL, 0, "", 0);
        return;
    }
    const char* hall = cw_exchange_arg(x, d->desc.dialect->lookup_hall);
    uint32_t count = d->desc.addresses(d->desc.user_data, hall, addresses, ADDRESSES_MAX);
    if (!count) {
        cw_exchange_reply(x, 503, NULL, 0, "", 0);
        return;
    }
    char* body = lookup_body(d->desc.dialect, addresses, count, d->desc.keep_ms);
    cw_exchange_reply(x, 200, &json, 1, body, strlen(body));
    free(body);
}

static void on_held(directory_t* d, cw_exchange_t* x) {
    static const cw_header_t json = {"Content-Type", "application/json"};
    cw_buffer_t out = {0};
    d->desc.write_held(d->desc.user_data, &out);
    cw_exchange_reply(x, 200, &json, 1, cw_buffer_text(&out), out.size);
    cw_buffer_free(&out);
}

static void on_release(directory_t* d, cw_exchange_t* x) {
    const char* fingerprint = cw_exchange_arg(x, "fingerprint");
    const char* workspace = cw_exchange_arg(x, "workspace");
    bool posted = strcmp(cw_exchange_method(x), "POST") == 0;
    bool released =
        posted && fingerprint && d->desc.release(d->desc.user_data, fingerprint, workspace ? workspace : "0");
    cw_exchange_reply(x, released ? 200 : posted ? 404 : 405, NULL, 0, "", 0);
}

static void on_metrics(cw_exchange_t* x, void* user) {
    directory_t* d = user;
    static const cw_header_t text = {"Content-Type", "text/plain; version=0.0.4"};
    cw_buffer_t out = {0};
    if (strcmp(cw_exchange_path(x), "/held") == 0) {
        on_held(d, x);
        return;
    }
    if (strcmp(cw_exchange_path(x), "/held/release") == 0) {
        on_release(d, x);
        return;
    }
    d->desc.write_metrics(d->desc.user_data, &out);
    write_kinds(&out, "route", &d->routes);
    write_kinds(&out, "workspace", &d->workspaces);
    cw_exchange_reply(x, 200, &text, 1, cw_buffer_text(&out), out.size);
    cw_buffer_free(&out);
}

/* -- setup ---------------------------------------------------------------- */

static cw_httpd_t* serve(directory_t* d, const char* address, void (*on_request)(cw_exchange_t*, void*),
                         cw_error_t* err) {
    return cw_httpd_setup(&(cw_httpd_desc_t){.loop = d->desc.loop,
                                             .address = address,
                                             .max_body = 4096,
                                             .max_connections = 256,
                                             .idle_s = IDLE_S,
                                             .on_request = on_request,
                                             .user_data = d},
                          err);
}

directory_t* directory_setup(const directory_desc_t* desc, cw_error_t* err) {
    directory_t* d = calloc(1, sizeof(*d));
    if (!d) {
        abort();
    }
    d->desc = *desc;
    d->ready = serve(d, desc->ready, on_ready, err);
    d->lookup = d->ready ? serve(d, desc->lookup, on_lookup, err) : NULL;
    d->metrics = d->lookup && desc->metrics[0] ? serve(d, desc->metrics, on_metrics, err) : NULL;
    if (!d->lookup || (desc->metrics[0] && !d->metrics)) {
        directory_shutdown(d);
        return NULL;
    }
    return d;
}

void directory_shutdown(directory_t* d) {
    cw_httpd_t* const servers[] = {d->ready, d->lookup, d->metrics};
    for (size_t i = 0; i < sizeof(servers) / sizeof(servers[0]); i++) {
        if (servers[i]) {
            cw_httpd_shutdown(servers[i]);
        }
    }
    free(d->routes.items);
    free(d->workspaces.items);
    free(d);
}

void directory_set_keep(directory_t* d, uint32_t keep_ms) {
    d->desc.keep_ms = keep_ms;
}
