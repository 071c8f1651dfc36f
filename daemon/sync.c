/* Configuration: a few hosts of each hall poll the platform; the others pull newer revisions from their peers. */
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../chalkway_servers.h"
#include "../io/buffer.h"
#include "node.h"

#define PULL_TIMEOUT_MS 2000
#define CALL_TIMEOUT_MS 5000
#define BACKOFF_MIN_MS 200
#define BACKOFF_MAX_MS 10000
#define DOCUMENTS_MAX_BYTES (32U << 20) /* response that lists documents */
#define HOSTS_MAX_BYTES (4U << 20)      /* response that lists hosts */
#define CHUNK_BYTES 65536               /* a chunk is sent once its documents exceed this size */
#define PLATFORM_BURST 4

typedef enum platform_state_t { PLATFORM_UNUSED, PLATFORM_OK, PLATFORM_DOWN, PLATFORM_STALE } platform_state_t;

struct sync_t {
    node_t* node;
    cw_call_t* call;      /* running call to the platform, NULL: none */
    bool is_full_listing; /* the call lists all documents; otherwise it waits for changes */
    cw_buffer_t body;
    cw_bucket_t bucket;
    uint32_t backoff_ms;
    int64_t next_call_ms;
    int64_t next_listing_ms; /* when to list all documents again after a listing that told no deletions, 0: not due */
    platform_state_t state;
    uint64_t calls;
    cw_call_t* hosts_call; /* requests the list of hosts, NULL: none running */
    cw_buffer_t hosts_body;
    int64_t next_hosts_ms;     /* when to request the list of hosts again */
    int64_t pull_started_ms;   /* when the outstanding pull was sent, 0: none */
    int64_t deferred_revision; /* revision to commit after the outstanding pull, 0: none */
    bool is_poller;
    cw_msg_t out;
};

bool sync_is_ready(const sync_t* s) {
    return cw_store_revision(s->node->store) > 0;
}

bool sync_is_poller(const sync_t* s) {
    return s->is_poller;
}

uint64_t sync_platform_calls(const sync_t* s) {
    return s->calls;
}

const char* sync_platform_state(const sync_t* s) {
    static const char* const names[] = {"not-read-here", "ok", "down", "stale"};
    return names[s->state];
}

static bool is_pull_outstanding(const sync_t* s, int64_t now_ms) {
    return s->pull_started_ms && now_ms - s->pull_started_ms < PULL_TIMEOUT_MS;
}

/* Makes the stored documents the active configuration. While a pull is outstanding, the commit is deferred, since only
   a part of the documents may have arrived. */
static void commit_revision(sync_t* s, int64_t revision) {
    if (is_pull_outstanding(s, node_now_ms())) {
        s->deferred_revision = revision > s->deferred_revision ? revision : s->deferred_revision;
        return;
    }
    revision = revision > s->deferred_revision ? revision : s->deferred_revision;
    s->deferred_revision = 0;
    int64_t previous_revision = cw_store_revision(s->node->store);
    cw_store_commit(s->node->store, revision);
    if (revision <= previous_revision) {
        return;
    }
    cw_snapshot_t* snapshot = cw_store_snapshot(s->node->store);
    cw_log(&s->node->log, CW_EVENT_CONFIG_CHANGED, "revision=%lld workspaces=%u classes=%u pools=%u upstreams=%u",
           (long long)revision, snapshot->workspace_count, snapshot->class_count, snapshot->pool_count,
           snapshot->upstream_count);
    cw_snapshot_release(snapshot);
    entry_on_cluster_changed(s->node->entry);
    allocator_on_cluster_changed(s->node->allocator);
}

static void put_document(sync_t* s, const char* key, int64_t revision, const char* value) {
    if (cw_store_put(s->node->store, key, revision, value) == CW_ERR_INVALID) {
        const cw_store_item_t* item = cw_store_find(s->node->store, key);
        cw_log(&s->node->log, CW_EVENT_CONFIG_INVALID, "key=%s revision=%lld reason=\"%s\"", key, (long long)revision,
               item ? item->reason : "unknown kind");
    }
}

/* -- platform ------------------------------------------------------------- */

static void set_platform_state(sync_t* s, platform_state_t state, const char* reason) {
    if (state == s->state) {
        return;
    }
    bool failed = state == PLATFORM_DOWN || state == PLATFORM_STALE;
    if (failed) {
        cw_log(&s->node->log, CW_EVENT_PLATFORM_FAILED, "state=%s reason=\"%s\"",
               state == PLATFORM_DOWN ? "down" : "stale", reason);
    } else if (s->state != PLATFORM_UNUSED) {
        cw_log(&s->node->log, CW_EVENT_PLATFORM_BACK, "url=%s", s->node->settings.platform);
    }
    s->state = state;
}

/* Schedules the next poll with exponential backoff and jitter, so that a recovering platform is not overloaded. */
static void schedule_retry(sync_t* s) {
    s->backoff_ms = s->backoff_ms ? s->backoff_ms * 2 : BACKOFF_MIN_MS;
    s->backoff_ms = s->backoff_ms > BACKOFF_MAX_MS ? BACKOFF_MAX_MS : s->backoff_ms;
    s->next_call_ms = node_now_ms() + s->backoff_ms / 2 + randombytes_uniform(s->backoff_ms);
}

/* What the items of a response tell. */
typedef struct listing_t {
    json_t* keys;              /* of all items, also of invalid ones */
    bool has_item_without_key; /* an item whose key can't be read may be any document */
    uint32_t valid, refused;   /* items */
} listing_t;

static json_t* parse_json(cw_json_text_t text) {
    return text.text ? json_loadb(text.text, text.size, JSON_DECODE_ANY, NULL) : NULL;
}

/* The item's member, parsed by itself if the item as a whole can't be parsed; NULL: it can't be read. */
static json_t* read_member(cw_json_text_t text, json_t* item, const char* name) {
    cw_json_text_t value;
    if (item) {
        return json_incref(json_object_get(item, name));
    }
    return cw_json_members(text, &name, &value, 1) ? parse_json(value) : NULL;
}

static void log_invalid_item(sync_t* s, const char* key, const char* reason) {
    char shortened[CW_KEY_MAX];
    cw_copy(shortened, sizeof(shortened), key && !cw_server_name_fault(key) ? key : "?");
    cw_log(&s->node->log, CW_EVENT_CONFIG_INVALID, "key=%s reason=\"%s\"", shortened, reason);
}

/* Why the item is no version of a document; NULL: it is one. */
static const char* find_item_fault(json_t* item) {
    json_t* value = json_object_get(item, "value");
    if (!item) {
        return "the item can't be parsed";
    }
    if (!json_is_string(json_object_get(item, "key"))) {
        return "the item has no key";
    }
    if (json_integer_value(json_object_get(item, "revision")) <= 0) {
        return "the item has no revision";
    }
    return (!value || json_is_null(value) || json_is_string(value)) ? NULL : "the value is no text";
}

static void apply_item(sync_t* s, cw_json_text_t text, listing_t* listing) {
    json_t* item = parse_json(text);
    json_t* key_json = read_member(text, item, "key");
    const char* key = json_string_value(key_json);
    const char* fault = find_item_fault(item);
    if (key) {
        json_object_set_new(listing->keys, key, json_true());
    }
    listing->has_item_without_key |= !key;
    if (fault) {
        listing->refused++;
        log_invalid_item(s, key, fault);
    } else {
        listing->valid++;
        put_document(s, key, json_integer_value(json_object_get(item, "revision")),
                     json_string_value(json_object_get(item, "value")));
    }
    json_decref(key_json);
    json_decref(item);
}

/* Deletes the documents that a full list does not contain, except those with a revision above the list's. */
static void delete_unlisted(sync_t* s, const json_t* listed_keys, int64_t revision) {
    cw_store_t* store = s->node->store;
    for (uint32_t i = 0; i < cw_store_count(store); i++) {
        const cw_store_item_t* known = cw_store_at(store, i);
        if (known->value && known->revision <= revision && !json_object_get(listed_keys, known->key)) {
            put_document(s, known->key, revision, NULL);
        }
    }
}

/* Whether the text is an array whose items can all be found. */
static bool is_whole_array(cw_json_text_t array) {
    cw_json_items_t items;
    cw_json_text_t item;
    if (!cw_json_items_begin(&items, array)) {
        return false;
    }
    while (cw_json_items_next(&items, &item)) {
    }
    return !items.is_broken;
}

/* Applies the items of a whole array, and commits the revision. A listing of which no item is valid tells nothing. */
static bool apply_items(sync_t* s, cw_json_text_t array, int64_t revision) {
    listing_t listing = {.keys = json_object()};
    cw_json_items_t items;
    cw_json_text_t item;
    cw_json_items_begin(&items, array);
    while (cw_json_items_next(&items, &item)) {
        apply_item(s, item, &listing);
    }
    bool is_accepted = !s->is_full_listing || listing.valid || !listing.refused;
    if (s->is_full_listing && is_accepted) {
        s->next_listing_ms = listing.has_item_without_key ? node_now_ms() + s->node->settings.watch_timeout_ms : 0;
        if (!listing.has_item_without_key) {
            delete_unlisted(s, listing.keys, revision);
        }
    }
    if (is_accepted) {
        commit_revision(s, revision);
    }
    json_decref(listing.keys);
    return is_accepted;
}

static int64_t read_integer(cw_json_text_t text) {
    json_t* value = parse_json(text);
    int64_t number = json_integer_value(value);
    json_decref(value);
    return number;
}

static void refuse_response(sync_t* s, platform_state_t state, const char* reason) {
    set_platform_state(s, state, reason);
    schedule_retry(s);
}

static void apply_platform_response(sync_t* s, cw_json_text_t document) {
    static const char* const names[] = {"revision", "items"};
    cw_json_text_t values[2];
    if (!cw_json_members(document, names, values, 2)) {
        refuse_response(s, PLATFORM_DOWN, "body is not JSON");
        return;
    }
    int64_t revision = read_integer(values[0]);
    if (!is_whole_array(values[1]) || revision <= 0) {
        refuse_response(s, PLATFORM_DOWN, "invalid response: no items or no revision");
        return;
    }
    if (revision < cw_store_revision(s->node->store)) {
        refuse_response(s, PLATFORM_STALE, "revision is lower than the local one");
        return;
    }
    if (!apply_items(s, values[1], revision)) {
        refuse_response(s, PLATFORM_DOWN, "invalid response: no item is valid");
        return;
    }
    set_platform_state(s, PLATFORM_OK, "");
    s->backoff_ms = 0;
}

static bool on_platform_data(void* user, const char* data, size_t size) {
    sync_t* s = user;
    cw_buffer_add(&s->body, data, size);
    return true;
}

static void on_platform_done(void* user, const cw_call_result_t* result) {
    sync_t* s = user;
    s->call = NULL;
    if (result->is_complete && result->status == 200) {
        apply_platform_response(s, (cw_json_text_t){cw_buffer_text(&s->body), s->body.size});
    } else {
        refuse_response(s, PLATFORM_DOWN, result->is_complete ? "response status is not 200" : result->message);
    }
    cw_buffer_free(&s->body);
}

static void poll_platform(sync_t* s) {
    const cw_settings_t* settings = &s->node->settings;
    int64_t revision = cw_store_revision(s->node->store);
    char url[CW_SETTINGS_TEXT_MAX + 96];
    bool is_listing_due = s->next_listing_ms && node_now_ms() >= s->next_listing_ms;
    s->is_full_listing = revision == 0 || s->state != PLATFORM_OK || is_listing_due;
    if (s->is_full_listing) {
        snprintf(url, sizeof(url), "%s/v1/kv", settings->platform);
    } else {
        snprintf(url, sizeof(url), "%s/v1/watch?since=%lld&wait_ms=%u", settings->platform, (long long)revision,
                 settings->watch_timeout_ms);
    }
    s->calls++;
    s->call =
        cw_client_call(s->node->client, &(cw_call_desc_t){.url = url,
                                                          .timeout_ms = settings->watch_timeout_ms + CALL_TIMEOUT_MS,
                                                          .max_body_bytes = DOCUMENTS_MAX_BYTES,
                                                          .on_data = on_platform_data,
                                                          .on_done = on_platform_done,
                                                          .user_data = s});
}

/* Whether this host is one of its hall's pollers. These are the highest-ranked hosts by rendezvous hashing, as many as
   settings.poller_count. */
static bool should_poll(const sync_t* s) {
    const node_t* node = s->node;
    uint64_t hosts[NODE_MAX_HOSTS];
    uint32_t count = 0;
    for (uint32_t i = 0; i < cw_members_count(node->members) && count < NODE_MAX_HOSTS; i++) {
        const cw_member_info_t* info = &cw_members_at(node->members, i)->info;
        if (info->state == CW_MEMBER_ALIVE && !info->leaving && cw_name_id(info->hall) == node->hall) {
            hosts[count++] = info->id;
        }
    }
    uint64_t key = cw_mix(node->hall, cw_name_id("reader"));
    return cw_rendezvous_rank(key, node->host, hosts, count) < node->settings.poller_count;
}

/* -- list of hosts -------------------------------------------------------- */

static bool read_listed_host(sync_t* s, cw_json_text_t text, listed_host_t* host) {
    json_t* item = parse_json(text);
    json_t* name_json = read_member(text, item, "name");
    const char* name = json_string_value(name_json);
    const char* role = json_string_value(json_object_get(item, "role"));
    const char* state = json_string_value(json_object_get(item, "state"));
    bool is_valid = name && role && state;
    if (is_valid) {
        *host = (listed_host_t){
            .id = cw_name_id(name), .is_router = strcmp(role, "router") == 0, .leaving = strcmp(state, "leaving") == 0};
    } else {
        log_invalid_item(s, name, item ? "the host has no name, role or state" : "the host can't be parsed");
    }
    json_decref(name_json);
    json_decref(item);
    return is_valid;
}

/* A list of which no host is valid tells nothing. */
static void apply_host_list(sync_t* s, cw_json_text_t document) {
    static const char* const names[] = {"hosts"};
    node_t* node = s->node;
    cw_json_text_t array;
    cw_json_text_t item;
    cw_json_items_t items;
    listed_host_t host;
    uint32_t count = 0;
    if (!cw_json_members(document, names, &array, 1) || !is_whole_array(array)) {
        return;
    }
    cw_json_items_begin(&items, array);
    while (cw_json_items_next(&items, &item)) {
        if (read_listed_host(s, item, &host) && count < NODE_MAX_LISTED) {
            node->listed_hosts[count++] = host;
        }
    }
    if (!count) {
        return;
    }
    node->listed_host_count = count;
    entry_on_cluster_changed(node->entry);
    allocator_on_cluster_changed(node->allocator);
}

static bool on_hosts_data(void* user, const char* data, size_t size) {
    sync_t* s = user;
    cw_buffer_add(&s->hosts_body, data, size);
    return true;
}

static void on_hosts_done(void* user, const cw_call_result_t* result) {
    sync_t* s = user;
    s->hosts_call = NULL;
    if (result->is_complete && result->status == 200) {
        apply_host_list(s, (cw_json_text_t){cw_buffer_text(&s->hosts_body), s->hosts_body.size});
    } else {
        log_invalid_item(s, "hosts", result->is_complete ? "response status is not 200" : result->message);
    }
    cw_buffer_free(&s->hosts_body);
}

/* Every host polls the list itself, at long intervals: the list has no revision by which peers could replicate it. */
static void poll_host_list(sync_t* s, int64_t now_ms) {
    uint32_t period_ms = s->node->settings.hosts_ms;
    s->next_hosts_ms = now_ms + period_ms / 2 + randombytes_uniform(period_ms);
    char url[CW_SETTINGS_TEXT_MAX + 32];
    snprintf(url, sizeof(url), "%s/v1/hosts", s->node->settings.platform);
    s->calls++;
    s->hosts_call = cw_client_call(s->node->client, &(cw_call_desc_t){.url = url,
                                                                      .timeout_ms = CALL_TIMEOUT_MS,
                                                                      .max_body_bytes = HOSTS_MAX_BYTES,
                                                                      .on_data = on_hosts_data,
                                                                      .on_done = on_hosts_done,
                                                                      .user_data = s});
}

/* -- peers ---------------------------------------------------------------- */

void sync_on_peer_revision(sync_t* s, uint64_t from, int64_t revision) {
    int64_t now_ms = node_now_ms();
    if (revision <= cw_store_revision(s->node->store) || is_pull_outstanding(s, now_ms)) {
        return;
    }
    s->out.type = CW_MSG_DOCUMENT_PULL;
    s->out.pull_since = cw_store_revision(s->node->store);
    if (node_send(s->node, from, &s->out) == CW_OK) {
        s->pull_started_ms = now_ms;
    }
}

static void send_chunk(sync_t* s, uint64_t to, bool last) {
    s->out.chunk.last = last;
    s->out.chunk.revision = last ? cw_store_revision(s->node->store) : 0;
    node_send(s->node, to, &s->out);
    s->out.chunk.count = 0;
}

/* Sends all documents newer than since. If the newest version of one is not the active version, sends both, the active
   one first. */
static void send_documents(sync_t* s, uint64_t to, int64_t since) {
    cw_document_chunk_t* chunk = &s->out.chunk;
    s->out.type = CW_MSG_DOCUMENT_CHUNK;
    chunk->count = 0;
    size_t bytes = 0;
    for (uint32_t i = 0; i < cw_store_count(s->node->store); i++) {
        const cw_store_item_t* item = cw_store_at(s->node->store, i);
        if (item->revision <= since) {
            continue;
        }
        if (item->active_value && item->active_revision != item->revision) {
            chunk->items[chunk->count++] =
                (cw_document_t){.key = item->key, .value = item->active_value, .revision = item->active_revision};
            bytes += strlen(item->active_value);
        }
        chunk->items[chunk->count++] =
            (cw_document_t){.key = item->key, .value = item->value, .revision = item->revision};
        bytes += item->value ? strlen(item->value) : 0;
        if (chunk->count + 2 > CW_CHUNK_MAX || bytes > CHUNK_BYTES) {
            send_chunk(s, to, false);
            bytes = 0;
        }
    }
    send_chunk(s, to, true);
}

void sync_on_message(sync_t* s, uint64_t from, const cw_msg_t* msg) {
    if (msg->type == CW_MSG_DOCUMENT_PULL) {
        send_documents(s, from, msg->pull_since);
        return;
    }
    for (uint32_t i = 0; i < msg->chunk.count; i++) {
        const cw_document_t* item = &msg->chunk.items[i];
        put_document(s, item->key, item->revision, item->value);
    }
    if (msg->chunk.last) {
        s->pull_started_ms = 0;
        commit_revision(s, msg->chunk.revision);
    }
}

void sync_tick(sync_t* s, int64_t now_ms) {
    if (s->deferred_revision && !is_pull_outstanding(s, now_ms)) {
        commit_revision(s, s->deferred_revision); /* the pull timed out */
    }
    bool hosts_due = s->node->settings.platform[0] && !s->hosts_call && now_ms >= s->next_hosts_ms;
    if (hosts_due && cw_bucket_take(&s->bucket, now_ms, 1)) {
        poll_host_list(s, now_ms);
    }
    s->is_poller = s->node->settings.platform[0] && should_poll(s);
    if (!s->is_poller) {
        s->state = s->call ? s->state : PLATFORM_UNUSED;
        return;
    }
    if (!s->call && now_ms >= s->next_call_ms && cw_bucket_take(&s->bucket, now_ms, 1)) {
        poll_platform(s);
    }
}

sync_t* sync_setup(node_t* node) {
    sync_t* s = cw_alloc(NULL, 1, sizeof(*s));
    s->node = node;
    s->bucket = (cw_bucket_t){.rate = node->settings.platform_calls_per_s, .burst = PLATFORM_BURST};
    return s;
}

void sync_shutdown(sync_t* s) {
    if (s->call) {
        cw_call_cancel(s->call);
    }
    if (s->hosts_call) {
        cw_call_cancel(s->hosts_call);
    }
    cw_buffer_free(&s->hosts_body);
    cw_buffer_free(&s->body);
    free(s);
}
