/* The operator API: resources and their status, validation of documents, status of this host, metrics. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node.h"

#define MAX_LONG_POLLS 64
#define LONG_POLL_MAX_MS 60000

/* A request held open until the configuration's revision exceeds the revision in the field since. */
typedef struct long_poll_t {
    cw_exchange_t* x;
    int64_t since;
    int64_t expires_ms;
} long_poll_t;

static long_poll_t long_polls[MAX_LONG_POLLS]; /* static, since a process has a single node */

/* -- resources ------------------------------------------------------------ */

static json_t* item_status(const cw_store_item_t* item) {
    bool is_active = item->value && item->active_revision == item->revision && !item->reason[0];
    json_t* condition = json_pack("{s:s,s:b,s:s}", "type", "InForce", "status", is_active, "reason", item->reason);
    return json_pack("{s:I,s:I,s:[o]}", "observed_revision", (json_int_t)item->revision, "in_force_revision",
                     (json_int_t)item->active_revision, "conditions", condition);
}

static json_t* item_json(const cw_store_item_t* item) {
    const char* name = strchr(item->key, '/') + 1;
    json_t* spec = json_loads(item->value ? item->value : "null", JSON_DECODE_ANY, NULL);
    return json_pack("{s:s,s:s,s:I,s:o,s:o}", "kind", cw_resource_kind_name(item->kind), "name", name, "revision",
                     (json_int_t)item->revision, "spec", spec ? spec : json_string(item->value), "status",
                     item_status(item));
}

static void reply_object(cw_exchange_t* x, json_t* root) {
    char* text = json_dumps(root, JSON_COMPACT);
    reply_json(x, 200, text);
    free(text);
    json_decref(root);
}

/* Responds with one resource or all of a kind; path is KIND/NAME or KIND. */
static void reply_resources(const node_t* node, cw_exchange_t* x, const char* path) {
    if (strchr(path, '/')) {
        const cw_store_item_t* item = cw_store_find(node->store, path);
        if (!item || !item->value) {
            reply_error(x, 404, CW_OUTCOME_NONE, "not-found", "resources", NULL, "no such resource", 0);
            return;
        }
        reply_object(x, item_json(item));
        return;
    }
    json_t* list = json_array();
    for (uint32_t i = 0; i < cw_store_count(node->store); i++) {
        const cw_store_item_t* item = cw_store_at(node->store, i);
        if (item->value && strcmp(cw_resource_kind_name(item->kind), path) == 0) {
            json_array_append_new(list, item_json(item));
        }
    }
    reply_object(x, json_pack("{s:I,s:o}", "revision", (json_int_t)cw_store_revision(node->store), "items", list));
}

/* Holds a request with ?since=REVISION open until the configuration is newer or the wait time has passed. Returns false
   if the response is due at once, also when MAX_LONG_POLLS requests are held open. */
static bool hold_until_change(const node_t* node, cw_exchange_t* x) {
    const char* since = cw_exchange_arg(x, "since");
    const char* wait = cw_exchange_arg(x, "wait_ms");
    int64_t revision = since ? strtoll(since, NULL, 10) : -1;
    int64_t wait_ms = wait ? strtoll(wait, NULL, 10) : 20000;
    if (!since || revision < cw_store_revision(node->store)) {
        return false;
    }
    for (int i = 0; i < MAX_LONG_POLLS; i++) {
        if (!long_polls[i].x) {
            long_polls[i] =
                (long_poll_t){.x = x,
                              .since = revision,
                              .expires_ms = node_now_ms() + (wait_ms < LONG_POLL_MAX_MS ? wait_ms : LONG_POLL_MAX_MS)};
            return true;
        }
    }
    return false;
}

static const char resources_path[] = "/v1/resources/";

void operator_tick(node_t* node, int64_t now_ms) {
    for (int i = 0; i < MAX_LONG_POLLS; i++) {
        long_poll_t* p = &long_polls[i];
        if (p->x && (now_ms >= p->expires_ms || cw_store_revision(node->store) > p->since)) {
            cw_exchange_t* x = p->x;
            p->x = NULL;
            reply_resources(node, x, cw_exchange_path(x) + sizeof(resources_path) - 1);
        }
    }
}

void operator_on_caller_closed(cw_exchange_t* x, void* user) {
    (void)user;
    for (int i = 0; i < MAX_LONG_POLLS; i++) {
        if (long_polls[i].x == x) {
            long_polls[i].x = NULL;
        }
    }
}

static void reply_validate(cw_exchange_t* x) {
    json_t* root = json_loads(cw_exchange_body(x, NULL), 0, NULL);
    const char* key = json_string_value(json_object_get(root, "key"));
    json_t* spec = json_object_get(root, "spec");
    if (!key || !json_is_object(spec)) {
        reply_error(x, 400, CW_OUTCOME_NONE, "bad-json", "validate", NULL, "must be {\"key\": KIND/NAME, \"spec\": {}}",
                    0);
    } else {
        cw_error_t err = {0};
        char* text = json_dumps(spec, JSON_COMPACT);
        if (cw_store_validate(key, text, &err) == CW_OK) {
            reply_json(x, 200, "{\"valid\":true}");
        } else {
            reply_error(x, 422, CW_OUTCOME_NONE, "invalid", err.step, NULL, err.message, 0);
        }
        free(text);
    }
    json_decref(root);
}

/* -- status and metrics --------------------------------------------------- */

static json_t* members_json(const node_t* node) {
    json_t* list = json_array();
    for (uint32_t i = 0; i < cw_members_count(node->members); i++) {
        const cw_member_t* m = cw_members_at(node->members, i);
        int64_t revision = i ? m->revision : cw_store_revision(node->store);
        json_array_append_new(list,
                              json_pack("{s:s,s:s,s:s,s:b,s:s,s:s,s:I}", "name", m->info.name, "hall", m->info.hall,
                                        "state", cw_member_state_name(m->info.state), "leaving", m->info.leaving,
                                        "http", m->info.http, "peer", m->info.peer, "revision", (json_int_t)revision));
    }
    return list;
}

static json_t* shards_json(const node_t* node) {
    json_t* list = json_array();
    for (uint32_t i = 0; i < allocator_count(node->allocator); i++) {
        uint64_t shard = 0;
        uint64_t pool = 0;
        cw_shard_stats_t s = allocator_stats(node->allocator, i, &shard, &pool);
        char id[24];
        snprintf(id, sizeof(id), "%016llx", (unsigned long long)shard);
        cw_snapshot_t* snapshot = cw_store_snapshot(node->store);
        const cw_pool_t* p = cw_snapshot_pool(snapshot, pool);
        json_array_append_new(list,
                              json_pack("{s:s,s:s,s:i,s:i,s:i,s:i,s:I,s:I,s:I}", "shard", id, "pool", p ? p->name : "?",
                                        "waiting", (int)s.waiting, "running", (int)s.running, "limit", (int)s.limit,
                                        "wait_ms", (int)s.wait_ms, "grants", (json_int_t)s.grants, "refusals",
                                        (json_int_t)s.refusals, "reclaimed", (json_int_t)s.reclaimed));
        cw_snapshot_release(snapshot);
    }
    return list;
}

static void reply_status(const node_t* node, cw_exchange_t* x) {
    entry_stats_t e = entry_stats(node->entry);
    reply_object(x, json_pack("{s:s,s:s,s:I,s:b,s:s,s:b,s:{s:I,s:i,s:I,s:I,s:I,s:I},s:o,s:o}", "host",
                              node->settings.name, "hall", node->settings.hall, "revision",
                              (json_int_t)cw_store_revision(node->store), "stopping", node_is_stopping(node),
                              "platform", sync_platform_state(node->sync), "reader", sync_is_poller(node->sync),
                              "requests", "total", (json_int_t)e.requests, "active", (int)e.active, "retries",
                              (json_int_t)e.retries, "direct", (json_int_t)e.direct_grants, "joined",
                              (json_int_t)e.retries_joined, "not_run", (json_int_t)e.outcomes[CW_OUTCOME_NOT_RUN],
                              "members", members_json(node), "shards", shards_json(node)));
}

static void reply_metrics(const node_t* node, cw_exchange_t* x) {
    char* entry = entry_metrics(node->entry);
    char* text = NULL;
    size_t size = 0;
    FILE* out = open_memstream(&text, &size);
    cw_peers_stats_t p = cw_peers_stats(node->peers);
    fputs(entry, out);
    fprintf(out, "chalkway_config_revision %lld\n", (long long)cw_store_revision(node->store));
    fprintf(out, "chalkway_platform_calls_total %llu\n", (unsigned long long)sync_platform_calls(node->sync));
    fprintf(out, "chalkway_peer_bytes_total{direction=\"in\",via=\"tcp\"} %llu\n", (unsigned long long)p.bytes_in);
    fprintf(out, "chalkway_peer_bytes_total{direction=\"out\",via=\"tcp\"} %llu\n", (unsigned long long)p.bytes_out);
    fprintf(out, "chalkway_peer_bytes_total{direction=\"in\",via=\"udp\"} %llu\n",
            (unsigned long long)p.gossip_bytes_in);
    fprintf(out, "chalkway_peer_bytes_total{direction=\"out\",via=\"udp\"} %llu\n",
            (unsigned long long)p.gossip_bytes_out);
    fprintf(out, "chalkway_peer_links %u\n", p.links);
    fclose(out);
    const cw_header_t headers[] = {{"Content-Type", "text/plain; version=0.0.4"}};
    cw_exchange_reply(x, 200, headers, 1, text, size);
    free(text);
    free(entry);
}

static void reply_quarantine(node_t* node, cw_exchange_t* x) {
    cw_buffer_t out = {0};
    entry_write_quarantine(node->entry, &out);
    reply_json(x, 200, cw_buffer_text(&out));
    cw_buffer_free(&out);
}

static void release_suspect(node_t* node, cw_exchange_t* x) {
    const char* fingerprint = cw_exchange_arg(x, "fingerprint");
    const char* workspace = cw_exchange_arg(x, "workspace");
    bool is_post = strcmp(cw_exchange_method(x), "POST") == 0;
    if (is_post && fingerprint && entry_release_suspect(node->entry, fingerprint, workspace ? workspace : "0")) {
        reply_json(x, 200, "{\"status\":\"released\"}");
    } else {
        reply_error(x, is_post ? 404 : 405, CW_OUTCOME_NONE, "no-such-suspect", "operator", NULL,
                    "POST with the fingerprint and workspace of a suspect in /held", 0);
    }
}

void operator_on_request(cw_exchange_t* x, void* user) {
    node_t* node = user;
    const char* path = cw_exchange_path(x);
    if (strncmp(path, resources_path, sizeof(resources_path) - 1) == 0) {
        if (!hold_until_change(node, x)) {
            reply_resources(node, x, path + sizeof(resources_path) - 1);
        }
    } else if (strcmp(path, "/v1/validate") == 0 && strcmp(cw_exchange_method(x), "POST") == 0) {
        reply_validate(x);
    } else if (strcmp(path, "/v1/status") == 0) {
        reply_status(node, x);
    } else if (strcmp(path, "/held") == 0) {
        reply_quarantine(node, x);
    } else if (strcmp(path, "/held/release") == 0) {
        release_suspect(node, x);
    } else if (strcmp(path, "/metrics") == 0) {
        reply_metrics(node, x);
    } else if (strcmp(path, "/healthz") == 0) {
        reply_json(x, 200, "{\"status\":\"ok\"}");
    } else if (strcmp(path, "/readyz") == 0) {
        bool is_ready = sync_is_ready(node->sync) && !node_is_stopping(node);
        reply_json(x, is_ready ? 200 : 503, is_ready ? "{\"status\":\"ready\"}" : "{\"status\":\"not-ready\"}");
    } else {
        reply_error(x, 404, CW_OUTCOME_NONE, "no-such-path", "operator", NULL, "nothing is served here", 0);
    }
}
