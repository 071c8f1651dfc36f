#include "quarantine_report.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PART_WORKSPACE "part" /* instead of a workspace: the fingerprint is the id of a part */

const char* cw_verdict_name(cw_verdict_kind_t kind) {
    static const char* const names[] = {"free", "apart", "trial", "wait", "held"};
    return names[kind];
}

const char* cw_suspect_format(const cw_fingerprint_t* suspect, char text[CW_SUSPECT_TEXT_MAX]) {
    if (cw_fingerprint_is_part(suspect)) {
        snprintf(text, CW_SUSPECT_TEXT_MAX, "part=%llx", (unsigned long long)suspect->content_hash);
    } else {
        snprintf(text, CW_SUSPECT_TEXT_MAX, "fingerprint=%016llx workspace=%016llx",
                 (unsigned long long)suspect->content_hash, (unsigned long long)suspect->workspace);
    }
    return text;
}

cw_fingerprint_t cw_suspect_parse(const char* fingerprint, const char* workspace) {
    bool is_part = strcmp(workspace, PART_WORKSPACE) == 0;
    return (cw_fingerprint_t){.workspace = is_part ? CW_FINGERPRINT_PART : strtoull(workspace, NULL, 16),
                              .content_hash = strtoull(fingerprint, NULL, 16)};
}

/* Verdict on a request with this suspect only, in any pool. */
static cw_verdict_t evaluate_alone(cw_quarantine_t* q, int64_t now_ms, const cw_fingerprint_t* suspect) {
    return cw_quarantine_evaluate(q, now_ms, &(cw_suspects_t){.count = 1, .items = {*suspect}},
                                  &(cw_quarantine_target_t){0});
}

bool cw_quarantine_observe_and_log(cw_quarantine_t* q, int64_t now_ms, const cw_quarantine_observation_t* observation,
                                   const char* by, const cw_log_t* log) {
    cw_verdict_t previous = evaluate_alone(q, now_ms, &observation->suspect);
    if (!cw_quarantine_observe(q, now_ms, observation)) {
        return false;
    }
    cw_verdict_t updated = evaluate_alone(q, now_ms, &observation->suspect);
    if (updated.kind != previous.kind) {
        char suspect[CW_SUSPECT_TEXT_MAX];
        cw_log(log, CW_EVENT_REQUEST_SUSPECTED,
               "%s verdict=%s was=%s ends=%u life=%016llx age_ms=%u told_by=%s retry_ms=%u",
               cw_suspect_format(&observation->suspect, suspect), cw_verdict_name(updated.kind),
               cw_verdict_name(previous.kind), updated.crashes, (unsigned long long)observation->incarnation,
               observation->age_ms, by, updated.retry_ms);
    }
    return true;
}

static json_t* json_hex(uint64_t id) {
    char text[20];
    snprintf(text, sizeof(text), "%016llx", (unsigned long long)id);
    return json_string(text);
}

static json_t* entry_to_json(const cw_quarantine_entry_t* entry) {
    const cw_verdict_t* v = &entry->verdict;
    json_t* crashes = json_array();
    json_t* workspace =
        cw_fingerprint_is_part(&entry->suspect) ? json_string(PART_WORKSPACE) : json_hex(entry->suspect.workspace);
    for (uint32_t i = 0; i < entry->count; i++) {
        json_array_append_new(crashes, json_pack("{s:o,s:i,s:b}", "life", json_hex(entry->incarnations[i]), "age_ms",
                                                 (int)entry->age_ms[i], "trial", entry->is_trial[i]));
    }
    return json_pack("{s:o,s:o,s:s,s:I,s:o}", "fingerprint", json_hex(entry->suspect.content_hash), "workspace",
                     workspace, "verdict", cw_verdict_name(v->kind), "retry_ms", (json_int_t)v->retry_ms, "ends",
                     crashes);
}

void cw_quarantine_write_json(cw_quarantine_t* q, int64_t now_ms, cw_buffer_t* out) {
    json_t* list = json_array();
    cw_quarantine_entry_t entry;
    for (uint32_t at = 0; cw_quarantine_next_entry(q, now_ms, &at, &entry);) {
        json_array_append_new(list, entry_to_json(&entry));
    }
    json_t* root = json_pack("{s:o}", "requests", list);
    char* text = json_dumps(root, JSON_COMPACT);
    cw_buffer_add(out, text, strlen(text));
    free(text);
    json_decref(root);
}
