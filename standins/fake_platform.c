/*
    fake-platform: stand-in for the users' configuration service.

    GET  /v1/kv                      all keys: {"revision", "items": [{"key", "revision", "value"}]}
    GET  /v1/watch?since=R&wait_ms=W long poll: changes after revision R; responds on a change, at the latest after W ms
    GET  /v1/hosts                   {"hosts": [...]}: as published --host-lag ago
    POST /admin/put                  {"items": [{"key", "value"}]}; value null deletes the key
    POST /admin/hosts                {"hosts": [...]}
    POST /admin/mode?down=0|1&stale=0|1&slow_ms=N
                                     down: every call is answered 503. stale: responses show the revision that was
                                     current when stale was set. slow_ms: responses are delayed by N ms.
    GET  /admin/stats                number of calls, calls rejected (rate limit or down), revision

    Calls beyond 2,000 per second are answered 503; /admin is not limited.
*/
#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../chalkway_limit.h"
#include "standin.h"

#define MAX_WATCHES 1024
#define MAX_CALLS_PER_S 2000

typedef struct item_t {
    char* key;
    char* value; /* NULL: tombstone of a deleted key */
    int64_t revision;
} item_t;

typedef struct watch_t {
    cw_exchange_t* x;
    int64_t since, deadline_ms;
} watch_t;

typedef struct delayed_t {
    cw_exchange_t* x; /* NULL: the caller closed the connection */
    ev_timer timer;
} delayed_t;

typedef struct platform_t {
    standin_t standin;
    item_t* items;
    size_t count;
    int64_t revision;
    int64_t stale_revision; /* 0: not stale */
    bool is_down;
    uint32_t response_delay_ms;
    uint64_t calls, rejected;
    cw_bucket_t bucket;
    watch_t watches[MAX_WATCHES];
    char* hosts; /* list of hosts as callers see it */
    char* pending_hosts;
    int64_t pending_hosts_due_ms;
    uint32_t host_lag_ms;
    ev_timer tick;
} platform_t;

/* Callers see items up to this revision. */
static int64_t visible_revision(const platform_t* p) {
    return p->stale_revision ? p->stale_revision : p->revision;
}

static void reply_items(platform_t* p, cw_exchange_t* x, int64_t since, bool with_deleted) {
    json_t* list = json_array();
    for (size_t i = 0; i < p->count; i++) {
        const item_t* item = &p->items[i];
        if (item->revision > since && item->revision <= visible_revision(p) && (item->value || with_deleted)) {
            json_array_append_new(list, json_pack("{s:s,s:I,s:s?}", "key", item->key, "revision",
                                                  (json_int_t)item->revision, "value", item->value));
        }
    }
    json_t* root = json_pack("{s:I,s:o}", "revision", (json_int_t)visible_revision(p), "items", list);
    char* text = json_dumps(root, JSON_COMPACT);
    standin_reply_json(x, 200, text);
    free(text);
    json_decref(root);
}

static void reply_watches(platform_t* p) {
    int64_t now_ms = standin_now_ms();
    for (int i = 0; i < MAX_WATCHES; i++) {
        watch_t* w = &p->watches[i];
        if (w->x && (p->is_down || visible_revision(p) > w->since || now_ms >= w->deadline_ms)) {
            cw_exchange_t* x = w->x;
            w->x = NULL;
            if (p->is_down) {
                standin_reply_json(x, 503, "{}");
            } else {
                reply_items(p, x, w->since, true);
            }
        }
    }
}

static void put_item(platform_t* p, const char* key, const char* value) {
    item_t* item = NULL;
    for (size_t i = 0; i < p->count; i++) {
        item = strcmp(p->items[i].key, key) == 0 ? &p->items[i] : item;
    }
    if (!item) {
        item_t* grown = realloc(p->items, (p->count + 1) * sizeof(*grown));
        if (!grown) {
            abort();
        }
        p->items = grown;
        item = &p->items[p->count++];
        *item = (item_t){.key = strdup(key)};
    }
    free(item->value);
    item->value = value ? strdup(value) : NULL;
    item->revision = ++p->revision;
}

/* A value is a string or a JSON object, which is stored as text. */
static void admin_put(platform_t* p, cw_exchange_t* x) {
    json_t* root = json_loads(cw_exchange_body(x, NULL), 0, NULL);
    size_t i = 0;
    json_t* item = NULL;
    json_array_foreach(json_object_get(root, "items"), i, item) {
        const char* key = json_string_value(json_object_get(item, "key"));
        json_t* value = json_object_get(item, "value");
        char* text = json_is_object(value) ? json_dumps(value, JSON_COMPACT) : NULL;
        if (key) {
            put_item(p, key, text ? text : json_string_value(value));
        }
        free(text);
    }
    json_decref(root);
    char reply[64];
    snprintf(reply, sizeof(reply), "{\"revision\":%lld}", (long long)p->revision);
    standin_reply_json(x, 200, reply);
    reply_watches(p);
}

static void admin_mode(platform_t* p, cw_exchange_t* x) {
    p->is_down = standin_number_arg(x, "down", p->is_down) != 0;
    p->response_delay_ms = (uint32_t)standin_number_arg(x, "slow_ms", p->response_delay_ms);
    bool is_stale = standin_number_arg(x, "stale", p->stale_revision != 0) != 0;
    p->stale_revision = is_stale ? (p->stale_revision ? p->stale_revision : p->revision) : 0;
    standin_reply_json(x, 200, "{}");
    reply_watches(p);
}

static void start_watch(platform_t* p, cw_exchange_t* x) {
    int64_t since = (int64_t)standin_number_arg(x, "since", 0);
    int64_t wait_ms = (int64_t)standin_number_arg(x, "wait_ms", 0);
    for (int i = 0; i < MAX_WATCHES; i++) {
        if (!p->watches[i].x) {
            p->watches[i] = (watch_t){.x = x, .since = since, .deadline_ms = standin_now_ms() + wait_ms};
            reply_watches(p);
            return;
        }
    }
    standin_reply_json(x, 503, "{}");
}

static void serve(platform_t* p, cw_exchange_t* x) {
    const char* path = cw_exchange_path(x);
    if (strcmp(path, "/v1/kv") == 0) {
        reply_items(p, x, 0, false);
    } else if (strcmp(path, "/v1/watch") == 0) {
        start_watch(p, x);
    } else if (strcmp(path, "/v1/hosts") == 0) {
        standin_reply_json(x, 200, p->hosts ? p->hosts : "{\"hosts\":[]}");
    } else {
        standin_reply_json(x, 404, "{}");
    }
}

static void on_delay(struct ev_loop* loop, ev_timer* w, int events) {
    (void)events;
    delayed_t* d = w->data;
    platform_t* p = ev_userdata(loop);
    if (d->x) {
        cw_exchange_set_data(d->x, NULL);
        serve(p, d->x);
    }
    free(d);
}

static void reply_stats(const platform_t* p, cw_exchange_t* x) {
    char reply[128];
    snprintf(reply, sizeof(reply), "{\"calls\":%llu,\"refused\":%llu,\"revision\":%lld}", (unsigned long long)p->calls,
             (unsigned long long)p->rejected, (long long)p->revision);
    standin_reply_json(x, 200, reply);
}

static void admin_hosts(platform_t* p, cw_exchange_t* x) {
    free(p->pending_hosts);
    p->pending_hosts = strdup(cw_exchange_body(x, NULL));
    p->pending_hosts_due_ms = standin_now_ms() + p->host_lag_ms;
    standin_reply_json(x, 200, "{}");
}

static void on_request(cw_exchange_t* x, void* user) {
    platform_t* p = user;
    const char* path = cw_exchange_path(x);
    if (strcmp(path, "/admin/put") == 0) {
        admin_put(p, x);
    } else if (strcmp(path, "/admin/mode") == 0) {
        admin_mode(p, x);
    } else if (strcmp(path, "/admin/hosts") == 0) {
        admin_hosts(p, x);
    } else if (strcmp(path, "/admin/stats") == 0) {
        reply_stats(p, x);
    } else {
        p->calls++;
        if (p->is_down || !cw_bucket_take(&p->bucket, standin_now_ms(), 1)) {
            p->rejected++;
            standin_reply_json(x, 503, "{}");
        } else if (p->response_delay_ms) {
            delayed_t* d = cw_alloc(NULL, 1, sizeof(*d));
            d->x = x;
            cw_exchange_set_data(x, d);
            ev_timer_init(&d->timer, on_delay, p->response_delay_ms / 1000.0, 0.0);
            d->timer.data = d;
            ev_timer_start(p->standin.loop, &d->timer);
        } else {
            serve(p, x);
        }
    }
}

static void on_caller_closed(cw_exchange_t* x, void* user) {
    platform_t* p = user;
    delayed_t* d = cw_exchange_data(x);
    if (d) {
        d->x = NULL;
    }
    for (int i = 0; i < MAX_WATCHES; i++) {
        p->watches[i].x = p->watches[i].x == x ? NULL : p->watches[i].x;
    }
}

static void on_tick(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    platform_t* p = w->data;
    if (p->pending_hosts && standin_now_ms() >= p->pending_hosts_due_ms) {
        free(p->hosts);
        p->hosts = p->pending_hosts;
        p->pending_hosts = NULL;
    }
    reply_watches(p);
}

typedef struct args_t {
    const char* address;
    uint32_t host_lag_ms;
} args_t;

static error_t parse_option(int key, char* arg, struct argp_state* state) {
    args_t* args = state->input;
    switch (key) {
        case 'a':
            args->address = arg;
            return 0;
        case 'l':
            args->host_lag_ms = (uint32_t)strtoul(arg, NULL, 10);
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

int main(int argc, char** argv) {
    static const struct argp_option options[] = {
        {"address", 'a', "IP:PORT", 0, "listen address, default 127.0.0.1:0", 0},
        {"host-lag", 'l', "MS", 0, "delay until a published host list is visible, default 2000", 0},
        {0},
    };
    const struct argp argp = {
        .options = options, .parser = parse_option, .doc = "Stand-in for the platform's configuration service."};
    args_t args = {.address = "127.0.0.1:0", .host_lag_ms = 2000};
    argp_parse(&argp, argc, argv, 0, NULL, &args);
    static platform_t platform;
    platform_t* p = &platform;
    p->host_lag_ms = args.host_lag_ms;
    p->bucket = (cw_bucket_t){.rate = MAX_CALLS_PER_S};
    if (!standin_setup(&p->standin, &(cw_httpd_desc_t){.address = args.address,
                                                       .max_body_bytes = (size_t)64 << 20,
                                                       .idle_timeout_s = 600,
                                                       .on_request = on_request,
                                                       .on_caller_closed = on_caller_closed,
                                                       .user_data = p})) {
        return 1;
    }
    ev_set_userdata(p->standin.loop, p);
    ev_timer_init(&p->tick, on_tick, 0.05, 0.05);
    p->tick.data = p;
    ev_timer_start(p->standin.loop, &p->tick);
    standin_run(&p->standin);
    return 0;
}
