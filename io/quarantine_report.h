#ifndef CW_IO_QUARANTINE_REPORT_H
#define CW_IO_QUARANTINE_REPORT_H
/*
    What operators see of a quarantine (chalkway_quarantine.h): suspects in log lines, the list of suspects as JSON, and
    how a suspect is named to release it.
*/
#include "../chalkway_log.h"
#include "../chalkway_quarantine.h"
#include "buffer.h"

#define CW_SUSPECT_TEXT_MAX 64

/* The verdict's name in logs and lists. */
const char* cw_verdict_name(cw_verdict_kind_t kind);
/* Names a suspect in a log line: "part=ID" or "fingerprint=ID workspace=ID", in hex. Returns text. */
const char* cw_suspect_format(const cw_fingerprint_t* suspect, char text[CW_SUSPECT_TEXT_MAX]);
/* Reads a suspect as the JSON document names it, in hex; workspace "part": fingerprint is the id of a part. */
cw_fingerprint_t cw_suspect_parse(const char* fingerprint, const char* workspace);
/* Applies an observation as cw_quarantine_observe does, and logs a changed verdict on its suspect. by: who observed it.
 */
bool cw_quarantine_observe_and_log(cw_quarantine_t* q, int64_t now_ms, const cw_quarantine_observation_t* observation,
                                   const char* by, const cw_log_t* log);
/* Appends a JSON document with the suspects whose verdict is not CW_VERDICT_ALLOWED: "requests", each with
   "fingerprint", "workspace", "verdict", "retry_ms" and "ends", the crashes and trials. */
void cw_quarantine_write_json(cw_quarantine_t* q, int64_t now_ms, cw_buffer_t* out);

#endif
